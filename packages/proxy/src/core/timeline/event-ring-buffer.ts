import type {TimelineEvent} from '@sapphireglade/decisions';

/** Limits of a ring buffer of events. */
export interface EventRingBufferLimits {
  /** Maximum number of events. */
  readonly maximumEvents: number;
  /** Maximum size in bytes, as estimated by {@link estimateEventBytes}. */
  readonly maximumBytes: number;
}

/** Estimated bytes of an event without its fields. */
const EVENT_OVERHEAD_BYTES = 200;
/** Estimated bytes of a field without its text. */
const FIELD_OVERHEAD_BYTES = 24;
/** Estimated bytes of a character. */
const CHARACTER_BYTES = 2;

/**
 * Ring buffer of the newest events of one stream, limited in count and bytes.
 *
 * Sequence numbers are consecutive, so the slot of an event is computed from
 * its number without a search.
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

  /** Sequence number required of the next event. */
  get next(): number {
    return this.nextSequence;
  }

  /** Sequence number of the oldest stored event; 0 if there is none. */
  get oldest(): number {
    return this.count === 0 ? 0 : this.firstSequence;
  }

  /** Number of stored events. */
  get count(): number {
    return this.nextSequence - this.firstSequence;
  }

  /** Estimated memory of the stored events, in bytes. */
  get bytes(): number {
    return this.usedBytes;
  }

  /**
   * Adds an event and drops the oldest ones above the limits.
   *
   * @param event - The event; its sequence number must be
   *   {@link EventRingBuffer.next}.
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
   * Returns events in order of their sequence numbers.
   *
   * @param sequence - Returns only events with a greater number.
   * @param limit - Maximum number of events.
   * @param isWanted - Filter; events for which it returns false are skipped.
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
 * @returns Bytes: a constant per event and per field, plus the text fields.
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
