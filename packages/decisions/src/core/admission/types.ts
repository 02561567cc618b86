/** A request to execute work at an instance. */
export interface AdmissionRequest {
  /** Identifier of the request, unique in this queue. */
  readonly id: string;
  /** Name of the caller; callers share the queue by weight. */
  readonly caller: string;
  /** Weight of the caller in the sharing of the queue. */
  readonly weight: number;
  /** Reads and writes alternate while both are queued. */
  readonly access: 'read' | 'write';
  /** Deadline of the request (monotonic time), in milliseconds. */
  readonly deadlineAtMs: number;
}

/** Decision about an offered request. */
export type AdmissionDecision =
  | {readonly action: 'start'}
  | {readonly action: 'queue'; readonly expectedWaitMs: number}
  | RefuseAdmissionDecision;

/** The request cannot be served in time. */
export interface RefuseAdmissionDecision {
  readonly action: 'refuse';
  /** Whether the backlog or the deadline alone is the cause. */
  readonly reason: 'overloaded' | 'deadline';
  /** Delay before the caller should retry, in milliseconds. */
  readonly retryAfterMs: number;
}

/** Requests that start or expire after a change of the queue. */
export interface AdmissionEffects {
  /** Requests that start now. */
  readonly start: readonly AdmissionRequest[];
  /** Queued requests that can no longer be served in time. */
  readonly expire: readonly AdmissionRequest[];
}

/** Measured times of an executed request. */
export interface ExecutionTiming {
  /** Time from sending to the answer, in milliseconds. */
  readonly durationMs: number;
  /** Part of that time spent waiting for a slot, in milliseconds, if known. */
  readonly waitedMs?: number;
}
