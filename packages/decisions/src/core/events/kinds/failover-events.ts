import {defineEvent} from '../define-events.js';

/** Events of a change of primary. */
export const FAILOVER_EVENTS = {
  'primary-missed': defineEvent<{
    group: string;
    primary: string;
    term: number;
    reason: string;
  }>(
    ({group, primary, term, reason}) =>
      `This zone misses ${describePrimary(primary)} of ${group} in term ${term}: ${reason}.`,
  ),
  'primary-back': defineEvent<{
    group: string;
    primary: string;
    term: number;
    missedMs: number;
  }>(
    ({group, primary, term, missedMs}) =>
      `This zone reaches the primary ${primary} of ${group} in term ${term} again after ${round(missedMs)} ms.`,
  ),
  'primary-suspected': defineEvent<{
    group: string;
    primary: string;
    term: number;
    zones: string;
    reason: string;
  }>(
    ({group, primary, term, zones, reason}) =>
      `A majority of zones (${zones}) miss ${describePrimary(primary)} of ${group} in term ${term}: ${reason}.`,
  ),
  'term-asked': defineEvent<{group: string; term: number; reason: string}>(
    ({group, term, reason}) =>
      `Term ${term} of ${group} was requested: ${reason}.`,
  ),
  'term-granted': defineEvent<{
    group: string;
    term: number;
    instances: string;
    tookMs: number;
  }>(
    ({group, term, instances, tookMs}) =>
      `A majority (${instances}) granted term ${term} of ${group} after ${round(tookMs)} ms.`,
  ),
  'primary-promoted': defineEvent<{
    group: string;
    primary: string;
    term: number;
    position: number;
    tookMs: number;
  }>(
    ({group, primary, term, position, tookMs}) =>
      `${primary} became primary of ${group} in term ${term} at position ${position}, ${round(tookMs)} ms after the term was requested.`,
  ),
  'attempt-failed': defineEvent<{
    group: string;
    term: number;
    reason: string;
    retryInMs: number;
  }>(
    ({group, term, reason, retryInMs}) =>
      `The attempt for term ${term} of ${group} failed: ${reason}. The next one may begin in ${round(retryInMs)} ms.`,
  ),
  'tail-dropped': defineEvent<{
    group: string;
    instance: string;
    term: number;
    entries: number;
  }>(
    ({group, instance, term, entries}) =>
      `${instance} of ${group} dropped ${entries} entries in order to follow the primary of term ${term}; none was confirmed.`,
  ),
  'view-published': defineEvent<{
    group: string;
    primary: string;
    term: number;
  }>(
    ({group, primary, term}) =>
      `The other proxies were informed that ${primary} is the primary of ${group} in term ${term}.`,
  ),
  'view-stored': defineEvent<{
    group: string;
    primary: string;
    term: number;
    tookMs: number;
  }>(
    ({group, primary, term, tookMs}) =>
      `The store now records ${primary} as the primary of ${group} in term ${term}, ${round(tookMs)} ms after this proxy received the view.`,
  ),
  'planned-change-began': defineEvent<{
    group: string;
    primary: string;
    target: string;
    term: number;
    reason: string;
  }>(
    ({group, primary, target, term, reason}) =>
      `A planned change of ${group} from ${primary} in term ${term} to ${target} began: ${reason}.`,
  ),
  'planned-change-ended': defineEvent<{
    group: string;
    target: string;
    term: number;
    isDone: boolean;
    reason: string;
    tookMs: number;
  }>(({group, target, isDone, reason, tookMs}) => {
    const end = isDone ? 'completed' : 'was abandoned';
    return `The planned change of ${group} to ${target} ${end} after ${round(tookMs)} ms: ${reason}.`;
  }),
  'writes-held': defineEvent<{
    group: string;
    term: number;
    isDrained: boolean;
    tookMs: number;
  }>(({group, term, isDrained, tookMs}) => {
    const end = isDrained ? 'have ended' : 'have not all ended';
    return `New writes to ${group} in term ${term} are held back; those in progress ${end} after ${round(tookMs)} ms.`;
  }),
  'write-unconfirmed': defineEvent<{
    group: string;
    term: number;
    position: number;
    reason: string;
    waitedMs: number;
  }>(
    ({group, term, position, reason, waitedMs}) =>
      `The write at position ${position} of term ${term} in ${group} ran but stayed unconfirmed for ${round(waitedMs)} ms: ${reason}.`,
  ),
} as const;

/** Describes a primary; its name is empty before the first one is known. */
function describePrimary(primary: string): string {
  return primary === '' ? 'a primary' : `the primary ${primary}`;
}

/** Rounds a duration to a tenth of a millisecond. */
function round(durationMs: number): number {
  return Math.round(durationMs * 10) / 10;
}
