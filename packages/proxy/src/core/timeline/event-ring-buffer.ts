import type {TimelineEvent} from '@sapphireglade/decisions';

/** Limits on what a ring of events keeps. */
export interface EventRingBufferLimits {
  /** Most events. */
  readonly maximumEvents: number;
  /** Most bytes, as {@link estimateEventBytes} counts them. */
  readonly maximumBytes: number;
}

/** Bytes of an event without its fields. */
const EVENT_OVERHEAD_BYTES = 200;
/** Bytes of a field without its text. */
const FIELD_OVERHEAD_BYTES = 24;
/** Bytes of a character. */
const CHARACTER_BYTES = 2;

/**
 * Keeps the newest events of one stream within a limit on count and bytes.
 *
 * Sequence numbers within a ring follow each other without a gap, so the
 * place of an event is worked out from its number and never searched.
 */
export class EventRingBuffer {
  private readonly slots: (TimelineEvent | undefined)[];
  private readonly sizes: Uint32Array;
  private firstSequence = 1;
  private nextSequence = 1;
  private usedBytes = 0;

  /** @param limits - Limits on count and bytes. */
  constructor(private readonly limits: EventRingBufferLimits) {
    this.slots = new Array<TimelineEvent | undefined>(limits.maximumEvents);
    this.sizes = new Uint32Array(limits.maximumEvents);
  }

  /** Sequence number that the next event has to carry. */
  get next(): number {
    return this.nextSequence;
  }

  /** Sequence number of the oldest event held; 0 if there is none. */
  get oldest(): number {
    return this.count === 0 ? 0 : this.firstSequence;
  }

  /** How many events are held. */
  get count(): number {
    return this.nextSequence - this.firstSequence;
  }

  /** Bytes in use, estimated. */
  get bytes(): number {
    return this.usedBytes;
  }

  /**
   * Adds an event and drops the oldest ones past the limits.
   *
   * @param event - Its sequence number is {@link EventRingBuffer.next}.
   */
  push(event: TimelineEvent): void {
    if (this.count === this.limits.maximumEvents) this.dropOldest();
    const slot = this.slotIndexOf(this.nextSequence);
    const size = estimateEventBytes(event);
    this.slots[slot] = event;
    this.sizes[slot] = size;
    this.usedBytes += size;
    this.nextSequence += 1;
    while (this.usedBytes > this.limits.maximumBytes && this.count > 1) {
      this.dropOldest();
    }
  }

  /**
   * Reads events in order.
   *
   * @param sequence - Only events with a greater number.
   * @param limit - Most events to read.
   * @param isWanted - Passes over events that it refuses.
   */
  after(
    sequence: number,
    limit: number,
    isWanted: (event: TimelineEvent) => boolean = () => true,
  ): TimelineEvent[] {
    const events: TimelineEvent[] = [];
    let current = Math.max(sequence + 1, this.firstSequence);
    while (current < this.nextSequence && events.length < limit) {
      const event = this.slots[this.slotIndexOf(current)];
      if (event !== undefined && isWanted(event)) events.push(event);
      current += 1;
    }
    return events;
  }

  private dropOldest(): void {
    const slot = this.slotIndexOf(this.firstSequence);
    this.usedBytes -= this.sizes[slot] ?? 0;
    this.slots[slot] = undefined;
    this.firstSequence += 1;
  }

  private slotIndexOf(sequence: number): number {
    return sequence % this.limits.maximumEvents;
  }
}

/**
 * Estimates the memory of an event.
 *
 * @returns Bytes: a constant for the event and each field, and its texts.
 */
export function estimateEventBytes(event: TimelineEvent): number {
  let bytes = EVENT_OVERHEAD_BYTES;
  for (const name in event.fields) {
    const value = event.fields[name];
    bytes += FIELD_OVERHEAD_BYTES;
    if (typeof value === 'string') bytes += value.length * CHARACTER_BYTES;
  }
  return bytes;
}
