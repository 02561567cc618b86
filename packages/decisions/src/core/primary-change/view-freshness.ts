/** A reading of both clocks of a process, in milliseconds. */
export interface ClockReading {
  /** Monotonic clock; stops while the VM is suspended. */
  readonly steadyMs: number;
  /** Time of day; may jump. */
  readonly wallMs: number;
}

/**
 * Returns the longest time that may have passed between two readings.
 *
 * The clock that advanced further counts, because the steady clock stops during
 * a suspension and the time of day may have been set back.
 *
 * @param from - The earlier reading.
 * @param to - The later reading.
 * @returns The time, in milliseconds.
 */
export function elapsedMs(from: ClockReading, to: ClockReading): number {
  return Math.max(to.steadyMs - from.steadyMs, to.wallMs - from.wallMs);
}

/** Tracks whether a cached view of one record is recent enough to act on. */
export class ViewFreshness {
  private confirmedAt: ClockReading | undefined;

  /** @param validityMs - How long a confirmation is valid, in milliseconds. */
  constructor(private readonly validityMs: number) {}

  /**
   * Records a confirmation. An older one than the latest is ignored.
   *
   * @param sentAt - When the request was sent whose answer confirmed the view.
   */
  confirm(sentAt: ClockReading): void {
    const isOlder =
      this.confirmedAt !== undefined &&
      sentAt.steadyMs < this.confirmedAt.steadyMs;
    if (!isOlder) this.confirmedAt = sentAt;
  }

  /** Returns whether the view may be acted on. */
  isValid(now: ClockReading): boolean {
    if (this.confirmedAt === undefined) return false;
    return elapsedMs(this.confirmedAt, now) < this.validityMs;
  }

  /** Returns the time since the latest confirmation, in milliseconds. */
  ageMs(now: ClockReading): number {
    return this.confirmedAt === undefined
      ? Infinity
      : elapsedMs(this.confirmedAt, now);
  }
}
