import type {
  EventFields,
  EventKind,
  TimelineEvent,
} from '@sapphireglade/decisions';
import {EventStream, findEventStream} from '@sapphireglade/decisions';
import type {TimelinePage, TimelineQuery} from '@sapphireglade/protocol';
import type {HybridLogicalClock} from '@sapphireglade/runtime';
import type {EventRingBufferLimits} from './event-ring-buffer.js';
import {EventRingBuffer} from './event-ring-buffer.js';

/** Identifies the recording process when time lines are merged. */
export interface EventRecorderIdentity {
  /** Name of the process, which is the name of its VM. */
  readonly process: string;
  /** Identifies this run of the process. */
  readonly boot: string;
  /** Availability zone. */
  readonly zone: string;
}

/** Limits of each stream. */
export type EventRecorderLimits = Readonly<
  Record<EventStream, EventRingBufferLimits>
>;

/** Default limits of both streams of a process: 24 MB in total. */
export const DEFAULT_EVENT_RECORDER_LIMITS: EventRecorderLimits = {
  [EventStream.Control]: {maximumEvents: 20_000, maximumBytes: 8_000_000},
  [EventStream.Requests]: {maximumEvents: 40_000, maximumBytes: 16_000_000},
};

/** Records the events of this process and drops the oldest at the limits. */
export class EventRecorder {
  private readonly rings: Readonly<Record<EventStream, EventRingBuffer>>;

  /**
   * @param process - Name of this process.
   * @param boot - Identifies this run of the process.
   * @param clock - Provides the event times.
   * @param zone - Availability zone.
   * @param limits - Limits of each stream.
   */
  constructor(
    private readonly process: string,
    private readonly boot: string,
    private readonly clock: HybridLogicalClock,
    private readonly zone = '',
    limits: EventRecorderLimits = DEFAULT_EVENT_RECORDER_LIMITS,
  ) {
    this.rings = {
      [EventStream.Control]: new EventRingBuffer(limits[EventStream.Control]),
      [EventStream.Requests]: new EventRingBuffer(limits[EventStream.Requests]),
    };
  }

  /**
   * Records an event.
   *
   * @param kind - Event kind from the catalogue.
   * @param fields - Fields of that kind.
   */
  record<Kind extends EventKind>(kind: Kind, fields: EventFields<Kind>): void {
    const ring = this.rings[findEventStream(kind)];
    ring.push({
      process: this.process,
      boot: this.boot,
      sequence: ring.next,
      at: this.clock.tick(),
      kind,
      fields,
    });
  }

  /**
   * Returns the control events with a sequence number above the given one.
   *
   * @param sequence - Sequence number of the last event already read.
   */
  controlEventsSince(sequence: number): readonly TimelineEvent[] {
    return this.rings[EventStream.Control].after(sequence, Infinity);
  }

  /** Returns the estimated memory of a stream, in bytes. */
  bytes(stream: EventStream): number {
    return this.rings[stream].bytes;
  }

  /**
   * Returns one page of a stream.
   *
   * @param query - Stream, position, page size and filter.
   */
  page(query: TimelineQuery): TimelinePage {
    const ring = this.rings[query.stream];
    const {request} = query;
    const events = ring.after(
      query.after,
      query.limit + 1,
      event => request === undefined || event.fields['requestId'] === request,
    );
    const more = events.length > query.limit;
    if (more) events.pop();
    const last = more ? events.at(-1) : undefined;
    return {
      process: this.process,
      boot: this.boot,
      zone: this.zone,
      stream: query.stream,
      events,
      next: last?.sequence ?? ring.next - 1,
      more,
      oldest: ring.oldest,
      bytes: ring.bytes,
    };
  }
}
