import type {LogPosition, TermStart, VoterSet} from '../groups/index.js';

/** Answer of an instance to a grant request. */
export interface GrantAnswer {
  readonly granted: boolean;
  readonly grantedTerm: number;
  readonly position: LogPosition;
  readonly termStarts: readonly TermStart[];
  /** Voter sets of the last term in which it led or followed, if known. */
  readonly voterSets?: readonly VoterSet[];
  /** Voter sets of other terms that it granted since. */
  readonly proposedVoterSets?: readonly VoterSet[];
}

/** Phase of an attempt to change the primary. */
export const AttemptPhase = {
  /** Grant requests for the term are in progress. */
  Granting: 'granting',
  /** The promotion of the candidate is in progress. */
  Promoting: 'promoting',
  /** The attempt has failed; no more requests are sent under its term. */
  Failed: 'failed',
} as const;

/** One of the attempt phases. */
export type AttemptPhase = (typeof AttemptPhase)[keyof typeof AttemptPhase];

/** An attempt to change the primary under one term. */
export interface ElectionAttempt {
  readonly term: number;
  /** Why the attempt began. */
  readonly reason: string;
  /** Instance that is preferred when logs are equal. */
  readonly preferred?: string;
  /** Instance that a planned change replaces; the last choice on a tie. */
  readonly replaced?: string;
  readonly startedAtMs: number;
  readonly phase: AttemptPhase;
  /** Answers by instance; undefined if it refused or did not answer. */
  readonly answers: ReadonlyMap<string, GrantAnswer | undefined>;
  /**
   * Sets of which a majority each has to grant the term, its own voters first.
   */
  readonly voterSets?: readonly VoterSet[];
  /** Whether every declared instance has to grant the term. */
  readonly needsEveryGrant?: boolean;
  /** When a majority had granted, in milliseconds. */
  readonly majorityAtMs?: number;
  /** Instance chosen for promotion. */
  readonly candidate?: string;
  /** When the promotion request was sent, in milliseconds. */
  readonly promotedAtMs?: number;
  /** Why the attempt failed. */
  readonly failure?: string;
}
