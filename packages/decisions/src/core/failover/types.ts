import type {GroupView, InstanceRole, LogPosition} from '../groups/index.js';
import type {TermStart} from '../groups/index.js';
import type {GroupResource} from '../resources/index.js';
import type {ElectionAttempt, GrantAnswer} from './election-attempt-types.js';
import type {PlannedChange} from './planned-change-types.js';

/** What an instance tells of itself, as far as decisions need it. */
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
  /** Where the terms of its log began, ascending. */
  readonly termStarts: readonly TermStart[];
  /** At a primary: the last position that each replica has confirmed. */
  readonly replicas: Readonly<Record<string, LogPosition>>;
  /** The owner is about to stop it. */
  readonly stopping: boolean;
}

/** What this process knows of one instance. */
export interface KnownInstance {
  /** The latest report, if there was any. */
  readonly report?: InstanceReport;
  /** When the question for the latest report was sent, in milliseconds. */
  readonly askedAtMs: number;
  /** When the latest report arrived, in milliseconds. */
  readonly answeredAtMs: number;
  /** Whether the instance can be reached from here; unknown at first. */
  readonly isReachable?: boolean;
  /** Why it cannot be reached. */
  readonly reason?: string;
  /** Since when the granted term is past the term of the view. */
  readonly higherTermSinceMs?: number;
}

/** One zone's word on whether the group has a working primary. */
export interface SuspicionReport {
  readonly group: string;
  /** Zone of the reporting proxy. */
  readonly zone: string;
  /** Name of the reporting proxy. */
  readonly reporter: string;
  /** Term of the view that the reporter holds; 0 without one. */
  readonly term: number;
  /** Whether the reporter misses a working primary. */
  readonly isMissing: boolean;
  /** Why it is missing. */
  readonly reason: string;
}

/** A report with the time at which it arrived. */
export interface ReceivedSuspicionReport extends SuspicionReport {
  /** Monotonic, in milliseconds. */
  readonly receivedAtMs: number;
}

/** What this process itself finds about the primary. */
export interface PrimaryAssessment {
  readonly isMissing: boolean;
  readonly reason: string;
  /** Since when the finding is the same, in milliseconds. */
  readonly sinceMs: number;
  /** When it was last told to the other zones, in milliseconds. */
  readonly reportedAtMs?: number;
}

/** The state of one group's failover at one lead owner. */
export interface FailoverState {
  /** Name of this process. */
  readonly self: string;
  /** Zone of this process. */
  readonly zone: string;
  readonly group: GroupResource;
  /** Names of the coordinators, first to act first. */
  readonly coordinators: readonly string[];
  /** Instance that an operator wants as primary. */
  readonly requestedPrimary?: string;
  readonly view?: GroupView;
  /** When the view became known here, monotonic, in milliseconds. */
  readonly viewAdoptedAtMs: number;
  /** Term of the latest view that the other proxies were told. */
  readonly publishedTerm: number;
  readonly instances: ReadonlyMap<string, KnownInstance>;
  /** Latest report of each zone. */
  readonly suspicionReports: ReadonlyMap<string, ReceivedSuspicionReport>;
  readonly assessment?: PrimaryAssessment;
  /** Since when a majority of zones miss the primary, in milliseconds. */
  readonly suspectedSinceMs?: number;
  /** Highest granted term seen anywhere. */
  readonly highestTerm: number;
  /** When another process was last seen to raise the granted term. */
  readonly termRaisedAtMs?: number;
  readonly attempt?: ElectionAttempt;
  readonly plannedChange?: PlannedChange;
  /** Attempts that failed since the last success. */
  readonly failures: number;
  /** No attempt begins before this time, in milliseconds. */
  readonly retryAtMs: number;
  /** Since when a planned change is wanted, in milliseconds. */
  readonly plannedChangeDueSinceMs?: number;
  /** No planned change begins before this time, in milliseconds. */
  readonly plannedRetryAtMs: number;
  /** When each instance was last told to follow, in milliseconds. */
  readonly followRequestedAtMs: ReadonlyMap<string, number>;
}

/** How a promotion ended. */
export const PromotionOutcome = {
  Promoted: 'promoted',
  /** The instance said no. */
  Refused: 'refused',
  /** No answer came; it may have taken effect. */
  Unknown: 'unknown',
} as const;

/** One of the outcomes. */
export type PromotionOutcome =
  (typeof PromotionOutcome)[keyof typeof PromotionOutcome];

/** What may happen to a group's failover. */
export type FailoverEvent =
  | {
      readonly type: 'configured';
      readonly group: GroupResource;
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
      /** Left out if the instance refused or did not answer. */
      readonly answer?: GrantAnswer;
    }
  | {
      readonly type: 'promotion-answer';
      readonly instance: string;
      readonly term: number;
      readonly outcome: PromotionOutcome;
      /** Where the terms began, from a promoted instance. */
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

/** What the task must do. */
export type FailoverEffect =
  | {readonly type: 'report'; readonly report: SuspicionReport}
  | {
      readonly type: 'grant';
      readonly instance: string;
      readonly term: number;
    }
  | {
      readonly type: 'promote';
      readonly instance: string;
      readonly term: number;
    }
  | {
      readonly type: 'follow';
      readonly instance: string;
      readonly term: number;
      readonly primary: string;
    }
  | {readonly type: 'publish'; readonly view: GroupView}
  | {readonly type: 'hold-writes'; readonly term: number}
  | {readonly type: 'release-writes'; readonly term: number}
  | {readonly type: 'probe'; readonly instance: string}
  | {readonly type: 'record'; readonly step: FailoverTimelineEvent};

/** A step that is worth an event on the time line. */
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

/** A new state and what must be done. */
export interface FailoverResult {
  readonly state: FailoverState;
  readonly effects: readonly FailoverEffect[];
}

/** Time-outs of a change of primary, in milliseconds. */
export interface FailoverPolicy {
  /** How long a report of another zone counts. */
  readonly reportValidityMs: number;
  /** How often a missing primary is told to the other zones. */
  readonly reportIntervalMs: number;
  /** How long a reachable instance may say it is not primary. */
  readonly steppedDownGraceMs: number;
  /** Wait for each better-ranked coordinator that misses the primary. */
  readonly rankDelayMs: number;
  /** Wait for the report of each better-ranked coordinator. */
  readonly rankStaggerMs: number;
  /** Wait for each better-ranked coordinator before a planned change. */
  readonly plannedRankDelayMs: number;
  /** How long another coordinator may take after it raised the term. */
  readonly otherAttemptTimeoutMs: number;
  /** How long instances may take to grant. */
  readonly grantTimeoutMs: number;
  /** How long to wait for further grants once a majority has granted. */
  readonly grantSettleMs: number;
  /** How long a promotion may take. */
  readonly promotionTimeoutMs: number;
  /** Wait after the first failed attempt; doubles each time. */
  readonly retryBackoffMs: number;
  /** Longest wait after a failed attempt. */
  readonly maximumBackoffMs: number;
  /** Wait between two requests to follow. */
  readonly followIntervalMs: number;
  /** How long writes in progress may hold up a planned change. */
  readonly drainTimeoutMs: number;
  /** How long the chosen replica may take to catch up. */
  readonly catchUpTimeoutMs: number;
  /** Wait between two questions to a replica that catches up. */
  readonly catchUpProbeIntervalMs: number;
  /** How long an instance may be ahead of the primary's term. */
  readonly higherTermGraceMs: number;
}
