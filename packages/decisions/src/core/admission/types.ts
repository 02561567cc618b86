/** Work that wants to run at an instance. */
export interface AdmissionRequest {
  /** Identifies the request at this queue. */
  readonly id: string;
  /** Name of the caller, for sharing the queue. */
  readonly caller: string;
  /** Weight of the caller when the queue is shared. */
  readonly weight: number;
  /** Writes and reads take turns while both wait. */
  readonly access: 'read' | 'write';
  /** When the answer becomes useless, in milliseconds. */
  readonly deadlineAtMs: number;
}

/** What becomes of a request that is offered. */
export type AdmissionDecision =
  | {readonly action: 'start'}
  | {readonly action: 'queue'; readonly expectedWaitMs: number}
  | RefuseAdmissionDecision;

/** The request cannot be served in time. */
export interface RefuseAdmissionDecision {
  readonly action: 'refuse';
  /** Whether the backlog is the cause, or the deadline by itself. */
  readonly reason: 'overloaded' | 'deadline';
  /** When the caller should come back, in milliseconds. */
  readonly retryAfterMs: number;
}

/** What becomes possible after a change. */
export interface AdmissionEffects {
  /** Requests that start now. */
  readonly start: readonly AdmissionRequest[];
  /** Queued requests that can no longer be served in time. */
  readonly expire: readonly AdmissionRequest[];
}

/** How a request that had started went. */
export interface ExecutionTiming {
  /** Time from sending to the answer, in milliseconds. */
  readonly durationMs: number;
  /** Time of it that the statement waited for a slot, if known. */
  readonly waitedMs?: number;
}
