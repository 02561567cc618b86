import type {GroupView, InstanceRole, LogPosition} from '../groups/index.js';
import type {TermStart, VoterSet} from '../groups/index.js';
import type {GroupResource} from '../resources/index.js';
import type {ElectionAttempt, GrantAnswer} from './election-attempt-types.js';
import type {PlannedChange} from './planned-change-types.js';

/** State that an instance reports about itself. */
export interface InstanceReport {
  /** Name of the instance. */
  readonly instance: string;
  readonly role: InstanceRole;
  /** Term in which it has the role. */
  readonly term: number;
  /** Highest term that it has granted; never lower than `term`. */
  readonly grantedTerm: number;
  /** Last entry of its log. */
  readonly position: LogPosition;
  /** Log positions at which each term began, ascending. */
  readonly termStarts: readonly TermStart[];
  /** On a primary: the last position confirmed by each replica. */
  readonly replicas: Readonly<Record<string, LogPosition>>;
  /** Whether its owner is about to stop it. */
  readonly stopping: boolean;
  /** Voter sets of the last term in which it led or followed, if known. */
  readonly voterSets?: readonly VoterSet[];
  /** Voter sets of later terms that it granted. */
  readonly proposedVoterSets?: readonly VoterSet[];
}

/** State of one instance as cached by this process. */
export interface KnownInstance {
  /** Latest report, if any has arrived. */
  readonly report?: InstanceReport;
  /** When the request for the latest report was sent, in milliseconds. */
  readonly askedAtMs: number;
  /** When the latest report arrived, in milliseconds. */
  readonly answeredAtMs: number;
  /** Whether this process can reach the instance; undefined at first. */
  readonly isReachable?: boolean;
  /** Why it cannot be reached. */
  readonly reason?: string;
  /** Since when the granted term is higher than the term of the view. */
  readonly higherTermSinceMs?: number;
}

/** A zone's report on whether the group has a working primary. */
export interface SuspicionReport {
  readonly group: string;
  /** Zone of the reporting proxy. */
  readonly zone: string;
  /** Name of the reporting proxy. */
  readonly reporter: string;
  /** Term of the reporter's view; 0 if it has none. */
  readonly term: number;
  /** Whether the reporter finds no working primary. */
  readonly isMissing: boolean;
  /** Why the primary is considered missing. */
  readonly reason: string;
}

/** A suspicion report with its time of arrival. */
export interface ReceivedSuspicionReport extends SuspicionReport {
  /** Monotonic, in milliseconds. */
  readonly receivedAtMs: number;
}

/** This process's own assessment of the primary. */
export interface PrimaryAssessment {
  readonly isMissing: boolean;
  readonly reason: string;
  /** Since when `isMissing` has had this value, in milliseconds. */
  readonly sinceMs: number;
  /** When it was last reported to the other zones, in milliseconds. */
  readonly reportedAtMs?: number;
}

/** Failover state of one group on one lead owner. */
export interface FailoverState {
  /** Name of this process. */
  readonly self: string;
  /** Zone of this process. */
  readonly zone: string;
  readonly group: GroupResource;
  /** Version of the declaration of the group, if it has one. */
  readonly declaredVersion?: number | undefined;
  /** Names of the coordinators, highest rank first. */
  readonly coordinators: readonly string[];
  /** Instance that an operator has requested as primary. */
  readonly requestedPrimary?: string;
  readonly view?: GroupView;
  /** Voters of a term whose view does not name them. */
  readonly assumedVoters: readonly string[];
  /** Voter sets of higher terms than the view, highest first. */
  readonly laterVoterSets: readonly VoterSet[];
  /** Whether the voters of a term that was led are known. */
  readonly knowsLedTerm: boolean;
  /** Lowest position that the primary reported in the term of the view. */
  readonly termFloor?: LogPosition;
  /** Highest term whose start a majority of its voters is known to hold. */
  readonly establishedTerm: number;
  /** When this process adopted the view, monotonic, in milliseconds. */
  readonly viewAdoptedAtMs: number;
  /** Term of the latest view published by this or another proxy. */
  readonly publishedTerm: number;
  readonly instances: ReadonlyMap<string, KnownInstance>;
  /** Latest report of each zone, keyed by zone. */
  readonly suspicionReports: ReadonlyMap<string, ReceivedSuspicionReport>;
  readonly assessment?: PrimaryAssessment;
  /**
   * Since when a majority of zones report the primary missing, in milliseconds.
   */
  readonly suspectedSinceMs?: number;
  /** Highest term observed in a report, an answer or a view, or requested. */
  readonly highestTerm: number;
  /** When another process was last observed to raise the granted term. */
  readonly termRaisedAtMs?: number;
  readonly attempt?: ElectionAttempt;
  readonly plannedChange?: PlannedChange;
  /** Failed attempts since the last success. */
  readonly failures: number;
  /** No attempt begins before this time, in milliseconds. */
  readonly retryAtMs: number;
  /** Since when a planned change is due, in milliseconds. */
  readonly plannedChangeDueSinceMs?: number;
  /** No planned change begins before this time, in milliseconds. */
  readonly plannedRetryAtMs: number;
  /** When each instance was last sent a follow request, in milliseconds. */
  readonly followRequestedAtMs: ReadonlyMap<string, number>;
}

/** Outcome of a promotion. */
export const PromotionOutcome = {
  Promoted: 'promoted',
  /** The instance refused the promotion. */
  Refused: 'refused',
  /** No answer arrived; the promotion may have taken effect. */
  Unknown: 'unknown',
} as const;

/** One of the promotion outcomes. */
export type PromotionOutcome =
  (typeof PromotionOutcome)[keyof typeof PromotionOutcome];

/** An input to a group's failover state machine. */
export type FailoverEvent =
  | {
      readonly type: 'configured';
      readonly group: GroupResource;
      /** Version of the declaration; absent if it has none. */
      readonly version?: number | undefined;
      readonly coordinators: readonly string[];
      readonly requestedPrimary?: string;
    }
  | {
      readonly type: 'reported';
      readonly report: InstanceReport;
      readonly askedAtMs: number;
    }
  | {
      readonly type: 'unreachable';
      readonly instance: string;
      readonly reason: string;
    }
  | {readonly type: 'suspicion'; readonly report: SuspicionReport}
  | {readonly type: 'view'; readonly view: GroupView}
  | {
      readonly type: 'grant-answer';
      readonly instance: string;
      readonly term: number;
      /** Absent if the instance refused or did not answer. */
      readonly answer?: GrantAnswer;
    }
  | {
      readonly type: 'promotion-answer';
      readonly instance: string;
      readonly term: number;
      readonly outcome: PromotionOutcome;
      /** Term starts of the log of the promoted instance. */
      readonly termStarts?: readonly TermStart[];
    }
  | {
      readonly type: 'follow-answer';
      readonly instance: string;
      readonly term: number;
      readonly droppedEntries: number;
    }
  | {
      readonly type: 'writes-drained';
      readonly term: number;
      readonly isComplete: boolean;
    }
  | {readonly type: 'tick'};

/** An action that the failover task must carry out. */
export type FailoverEffect =
  | {readonly type: 'report'; readonly report: SuspicionReport}
  | {
      readonly type: 'grant';
      readonly instance: string;
      readonly term: number;
      /** Voters of the term. */
      readonly voters: VoterSet;
    }
  | {
      readonly type: 'promote';
      readonly instance: string;
      readonly term: number;
      readonly voterSets: readonly VoterSet[];
    }
  | {
      readonly type: 'follow';
      readonly instance: string;
      readonly term: number;
      readonly primary: string;
      readonly voterSets?: readonly VoterSet[];
    }
  | {readonly type: 'publish'; readonly view: GroupView}
  | {readonly type: 'hold-writes'; readonly term: number}
  | {readonly type: 'release-writes'; readonly term: number}
  | {readonly type: 'probe'; readonly instance: string}
  | {readonly type: 'record'; readonly step: FailoverTimelineEvent};

/** A failover step that is recorded as an event on the time line. */
export type FailoverTimelineEvent =
  | {
      readonly kind: 'primary-suspected';
      readonly primary: string;
      readonly term: number;
      readonly zones: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'primary-missed';
      readonly primary: string;
      readonly term: number;
      readonly reason: string;
    }
  | {
      readonly kind: 'primary-back';
      readonly primary: string;
      readonly term: number;
      readonly missedMs: number;
    }
  | {
      readonly kind: 'term-asked';
      readonly term: number;
      readonly reason: string;
    }
  | {
      readonly kind: 'term-granted';
      readonly term: number;
      readonly instances: string;
      readonly tookMs: number;
    }
  | {
      readonly kind: 'primary-promoted';
      readonly term: number;
      readonly primary: string;
      readonly position: number;
      readonly tookMs: number;
    }
  | {
      readonly kind: 'attempt-failed';
      readonly term: number;
      readonly reason: string;
      readonly retryInMs: number;
    }
  | {
      readonly kind: 'tail-dropped';
      readonly instance: string;
      readonly term: number;
      readonly entries: number;
    }
  | {
      readonly kind: 'planned-change-began';
      readonly term: number;
      readonly primary: string;
      readonly target: string;
      readonly reason: string;
    }
  | {
      readonly kind: 'planned-change-ended';
      readonly term: number;
      readonly target: string;
      readonly isDone: boolean;
      readonly reason: string;
      readonly tookMs: number;
    };

/** The new state and the effects to carry out. */
export interface FailoverResult {
  readonly state: FailoverState;
  readonly effects: readonly FailoverEffect[];
}

/** Time-outs of a change of primary, in milliseconds. */
export interface FailoverPolicy {
  /** How long a report from another zone is valid. */
  readonly reportValidityMs: number;
  /** Interval between reports of a missing primary to the other zones. */
  readonly reportIntervalMs: number;
  /** How long a reachable primary may report that it is not primary. */
  readonly steppedDownGraceMs: number;
  /** Delay per higher-ranked coordinator that reports it missing. */
  readonly rankDelayMs: number;
  /** Delay per higher-ranked coordinator, in which its report may arrive. */
  readonly rankStaggerMs: number;
  /** Delay per higher-ranked coordinator before a planned change. */
  readonly plannedRankDelayMs: number;
  /** How long another coordinator's attempt may take after a raised term. */
  readonly otherAttemptTimeoutMs: number;
  /** Time-out for grants. */
  readonly grantTimeoutMs: number;
  /** How long to wait for further grants after a majority has granted. */
  readonly grantSettleMs: number;
  /** Time-out for a promotion. */
  readonly promotionTimeoutMs: number;
  /** Delay after the first failed attempt; doubles with each failure. */
  readonly retryBackoffMs: number;
  /** Longest delay after a failed attempt. */
  readonly maximumBackoffMs: number;
  /** Interval between follow requests to one instance. */
  readonly followIntervalMs: number;
  /** How long a planned change waits for writes in progress. */
  readonly drainTimeoutMs: number;
  /** How long the target replica may take to catch up. */
  readonly catchUpTimeoutMs: number;
  /** Interval between probes of a replica that is catching up. */
  readonly catchUpProbeIntervalMs: number;
  /** How long a replica may have a higher term than the primary. */
  readonly higherTermGraceMs: number;
}
