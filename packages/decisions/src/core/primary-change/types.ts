import type {LogPosition} from '../groups/index.js';

/** Phase of a group with respect to a change of primary. */
export const PrimaryPhase = {
  /** The recorded primary is in use. */
  Steady: 'steady',
  /** No proxy may use the primary until the next one is recorded. */
  Changing: 'changing',
} as const;

/** One of the phases of a primary. */
export type PrimaryPhase = (typeof PrimaryPhase)[keyof typeof PrimaryPhase];

/** Record of a group's primary in the store. */
export interface PrimaryRecord {
  /** Term of the current or most recent primary. */
  readonly term: number;
  /** Identifier of the current or most recent primary. */
  readonly primary: string;
  /** Phase of the group. */
  readonly phase: PrimaryPhase;
  /** Generation of the store in which the record was written. */
  readonly generation?: number | undefined;
  /**
   * Whether the primary is replaced while it still works. This affects only how
   * long the change takes; nothing else may depend on it.
   */
  readonly isPlanned?: boolean | undefined;
  /**
   * Number of promotions that may have been ordered since the term began. Each
   * may have begun a term, and the coordinator that ordered it may have ended.
   */
  readonly orders?: number | undefined;
  /** Instance chosen as the next primary, once it is decided. */
  readonly target?: string | undefined;
  /**
   * Order of an earlier coordinator that may still take effect. Undefined in a
   * record that names a {@link target}: such a record stands for an order itself.
   */
  readonly outstandingOrder?: OutstandingOrder | undefined;
  /**
   * Position that includes every commit acknowledged before the target was
   * chosen. No commit can be acknowledged until the target is primary.
   */
  readonly lastPosition?: LogPosition | undefined;
  /**
   * Position at which the term began. An instance that has not reached it lacks
   * acknowledged commits of earlier terms. It belongs to the term, so every
   * further record of the term repeats it.
   */
  readonly initialPosition?: LogPosition | undefined;
  /**
   * Incarnation of the primary. Every further record of the term repeats it, so
   * that another incarnation is recognized. Undefined if it is not known.
   */
  readonly primaryBornAtMs?: Incarnation;
  /**
   * Whether {@link orders} counts an order only because records may have been
   * lost, although a replica was not held for it. An observation of the primary
   * may disprove such an order. A record of an order does not have it.
   */
  readonly isOrderAssumed?: boolean | undefined;
  /**
   * Instances that may have confirmed commits of the term. Undefined if no
   * coordinator has recorded them.
   */
  readonly confirmers?: RecordedConfirmers | undefined;
}

/** An order to promote whose result is not known to the coordinator. */
export interface OutstandingOrder {
  /** The ordered instance. */
  readonly target: string;
  /** Fencing token of the order. */
  readonly token: number;
}

/** Identifies one start of an instance, in Unix milliseconds, if it is known. */
export type Incarnation = number | undefined;

/** An instance of a group, and its incarnation. */
export interface GroupInstance {
  readonly id: string;
  readonly bornAtMs: Incarnation;
}

/** An instance that is in the directory. */
export interface PresentInstance extends GroupInstance {
  /** Whether it has announced that it leaves the group. */
  readonly isLeaving: boolean;
  /** Where it accepts connections, as HOST:PORT. */
  readonly address: string;
}

/** An instance that is not in the directory and may return with its log. */
export interface AbsentInstance extends GroupInstance {
  /**
   * Whether every commit that it may have confirmed is included in a position
   * that a target has to have reached.
   */
  readonly isBounded: boolean;
}

/** What every coordinator has to know of the instances that may have confirmed commits of a term. */
export interface RecordedConfirmers {
  /**
   * Instances that belonged to the group during the term, without the primary.
   * One that left stays until {@link departedPosition} includes its commits.
   */
  readonly instances: readonly GroupInstance[];
  /** Position that includes every commit confirmed by instances that left and are no longer listed. */
  readonly departedPosition?: LogPosition | undefined;
  /**
   * Those of {@link instances}, and the primary, whose logs are gone or have
   * another name once their entries are gone. Undefined if there is none.
   */
  readonly leaving?: readonly GroupInstance[] | undefined;
  /**
   * Further instances that may return with their logs. What they confirmed is
   * included in {@link departedPosition} or in the start of the term. Undefined
   * if there is none.
   */
  readonly absent?: readonly GroupInstance[] | undefined;
}

/** Report of an instance after it was asked to stop replicating. */
export interface ReplicationReport {
  /** Identifier of the instance. */
  readonly id: string;
  /** Whether it acts as primary. */
  readonly isPrimary: boolean;
  /** Term in which it is primary or replica. */
  readonly term: number;
  /** Newest position that it has received. */
  readonly received: LogPosition;
  /** Highest term that it was asked to hold for. */
  readonly heldTerm: number;
  /** Whether its log has left that of the term of the record, so that its position shows nothing. */
  readonly hasLeftTerm?: boolean | undefined;
}

/** An instance that may have acknowledged commits. */
export interface PromotionCandidate {
  /** Identifier of the instance. */
  readonly id: string;
  /** Whether it is about to leave the group. */
  readonly isLeaving: boolean;
  /** Its report, if it has answered since the change began. */
  readonly report: ReplicationReport | undefined;
}
