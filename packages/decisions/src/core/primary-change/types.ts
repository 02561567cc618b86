import type {LogPosition} from '../groups/index.js';

/** Where a group is between two primaries. */
export const PrimaryPhase = {
  /** The named primary leads. */
  Steady: 'steady',
  /** Nobody may use the primary until another one is named. */
  Changing: 'changing',
} as const;

/** One of the phases. */
export type PrimaryPhase = (typeof PrimaryPhase)[keyof typeof PrimaryPhase];

/** What the store records of a group's primary. */
export interface PrimaryRecord {
  /** Term of the primary that leads, or led last. */
  readonly term: number;
  /** Identifier of the instance that leads, or led last. */
  readonly primary: string;
  /** Where the group is between two primaries. */
  readonly phase: PrimaryPhase;
  /**
   * Whether the primary is replaced while it still works, which takes less
   * time; nothing else may depend on it.
   */
  readonly isPlanned?: boolean | undefined;
  /**
   * Promotions that may have been ordered since the term began. Each may have
   * begun a term, and the coordinator that ordered it may be gone.
   */
  readonly orders?: number | undefined;
  /** Instance that was chosen to lead next, once that is decided. */
  readonly target?: string | undefined;
  /**
   * Position that holds every commit acknowledged before the target was
   * chosen; nothing can be acknowledged until the target leads.
   */
  readonly lastPosition?: LogPosition | undefined;
}

/** What an instance said of itself after it was asked to stop following. */
export interface ReplicationReport {
  /** Identifier of the instance. */
  readonly id: string;
  /** Whether it believes that it leads. */
  readonly isPrimary: boolean;
  /** Term in which it leads or follows. */
  readonly term: number;
  /** Newest position that it has received. */
  readonly received: LogPosition;
  /** Highest term that it was asked to wait for. */
  readonly heldTerm: number;
}

/** An instance that may hold acknowledged commits. */
export interface PromotionCandidate {
  /** Identifier of the instance. */
  readonly id: string;
  /** Whether it is about to leave. */
  readonly isLeaving: boolean;
  /** Its report, if it answered since the change began. */
  readonly report: ReplicationReport | undefined;
}
