import type {LogPosition, TermStart} from '../groups/index.js';

/** Answer of an instance to the request for a term. */
export interface GrantAnswer {
  readonly granted: boolean;
  readonly grantedTerm: number;
  readonly position: LogPosition;
  readonly termStarts: readonly TermStart[];
}

/** Where an attempt to change the primary stands. */
export const AttemptPhase = {
  /** Instances are being asked for the term. */
  Granting: 'granting',
  /** The chosen instance is being promoted. */
  Promoting: 'promoting',
  /** The attempt has failed; nothing more may be sent under its term. */
  Failed: 'failed',
} as const;

/** One of the phases. */
export type AttemptPhase = (typeof AttemptPhase)[keyof typeof AttemptPhase];

/** One attempt to change the primary, under one term. */
export interface ElectionAttempt {
  readonly term: number;
  /** Why it was begun. */
  readonly reason: string;
  /** Instance that wins where logs are equal. */
  readonly preferred?: string;
  /** Instance that a planned change replaces; it wins only if it must. */
  readonly replaced?: string;
  readonly startedAtMs: number;
  readonly phase: AttemptPhase;
  /** Answers so far; undefined for an instance that refused or was silent. */
  readonly answers: ReadonlyMap<string, GrantAnswer | undefined>;
  /** When a majority had granted, in milliseconds. */
  readonly majorityAtMs?: number;
  /** The chosen instance. */
  readonly candidate?: string;
  /** When the promotion was sent, in milliseconds. */
  readonly promotedAtMs?: number;
  /** Why it failed. */
  readonly failure?: string;
}
