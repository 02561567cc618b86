import {defineEvent} from '../define-events.js';

/** Events of single requests, for step-by-step analysis of one request. */
export const REQUEST_EVENTS = {
  'request-received': defineEvent<{
    requestId: string;
    group: string;
    caller: string;
    access: string;
    deadlineMs: number;
  }>(
    ({requestId, group, caller, access, deadlineMs}) =>
      `Request ${requestId} arrived: ${caller} asks for a ${access} in ${group} within ${deadlineMs} ms.`,
  ),
  'request-forwarded': defineEvent<{
    requestId: string;
    group: string;
    owner: string;
    reason: string;
  }>(
    ({requestId, owner, reason}) =>
      `Request ${requestId} went to the owner ${owner}: ${reason}.`,
  ),
  'request-routed': defineEvent<{
    requestId: string;
    group: string;
    instance: string;
    role: string;
    reason: string;
  }>(
    ({requestId, instance, role, reason}) =>
      `Request ${requestId} was routed to the ${role} ${instance}: ${reason}.`,
  ),
  'request-ran': defineEvent<{
    requestId: string;
    group: string;
    instance: string;
    term: number;
    position: number;
    queuedMs: number;
    durationMs: number;
  }>(
    ({requestId, instance, term, position, queuedMs, durationMs}) =>
      `Request ${requestId} waited ${round(queuedMs)} ms for a connection and ran on ${instance} in ${round(durationMs)} ms, at position ${position} of term ${term}.`,
  ),
  'request-confirmed': defineEvent<{
    requestId: string;
    group: string;
    term: number;
    position: number;
    durationMs: number;
  }>(
    ({requestId, term, position, durationMs}) =>
      `A majority held position ${position} of term ${term} for request ${requestId} after ${round(durationMs)} ms.`,
  ),
  'request-retried': defineEvent<{
    requestId: string;
    group: string;
    reason: string;
  }>(
    ({requestId, reason}) =>
      `Request ${requestId} is sent again, which is safe: ${reason}.`,
  ),
  'request-answered': defineEvent<{
    requestId: string;
    group: string;
    outcome: string;
    error: string | null;
    durationMs: number;
  }>(({requestId, outcome, error, durationMs}) => {
    const cause = error === null ? '' : ` (${error})`;
    return `Request ${requestId} was answered "${outcome}"${cause} after ${round(durationMs)} ms.`;
  }),
} as const;

/** Rounds a duration to a tenth of a millisecond. */
function round(durationMs: number): number {
  return Math.round(durationMs * 10) / 10;
}
