import type {HybridTimestamp} from '../clock/index.js';
import type {EventFieldMap} from './define-events.js';

/** The two event streams of a process, each with its own sequence numbers. */
export const EventStream = {
  /** Events of the fleet: links, changes of primary, configuration. */
  Control: 'control',
  /** Events of single requests; numerous, so they are overwritten early. */
  Requests: 'requests',
} as const;

/** A value of {@link EventStream}. */
export type EventStream = (typeof EventStream)[keyof typeof EventStream];

/** One event of the timeline. */
export interface TimelineEvent {
  /** Name of the process that recorded the event. */
  readonly process: string;
  /** Identifier of the run of that process. */
  readonly boot: string;
  /** Increases by one with each event of the run and stream; a jump is a gap. */
  readonly sequence: number;
  /** Time of the event. */
  readonly at: HybridTimestamp;
  /** Event kind from the catalogue of the version that recorded it. */
  readonly kind: string;
  /** Fields of that kind. */
  readonly fields: EventFieldMap;
}

/** Events of one run of a process that are no longer available. */
export interface TimelineGap {
  /** Name of the process. */
  readonly process: string;
  /** Identifier of the run. */
  readonly boot: string;
  /** Stream that has the gap. */
  readonly stream: EventStream;
  /** First missing sequence number. */
  readonly firstMissing: number;
  /** Last missing sequence number; null if it is unknown because the run ended. */
  readonly lastMissing: number | null;
  /** Time at which the gap is placed among the events. */
  readonly at: HybridTimestamp;
}

/** One entry of a merged timeline. */
export type TimelineEntry =
  | {readonly type: 'event'; readonly event: TimelineEvent}
  | {readonly type: 'gap'; readonly gap: TimelineGap};

/** Selects events; an omitted field matches all. */
export interface EventFilter {
  /** Name of a database group. */
  readonly group?: string;
  /** Name of the recording process. */
  readonly proxy?: string;
  /** Kinds from the catalogue. */
  readonly kinds?: readonly string[];
  /** Identifier of a request. */
  readonly requestId?: string;
}
