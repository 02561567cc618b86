/** A moment on both clocks of a process, in milliseconds. */
export interface ClockReading {
  /** Steady clock; stands still while the VM is suspended. */
  readonly steadyMs: number;
  /** Time of day; may jump. */
  readonly wallMs: number;
}

/**
 * Says how much time may have passed between two readings.
 *
 * The clock that ran further counts: the steady clock misses a suspension,
 * and the time of day may have been set back.
 *
 * @param from - The earlier reading.
 * @param to - The later reading.
 * @returns The time, in milliseconds.
 */
export function elapsedMs(from: ClockReading, to: ClockReading): number {
  return Math.max(to.steadyMs - from.steadyMs, to.wallMs - from.wallMs);
}

/** What a proxy holds to be the newest state of one record. */
export class ViewFreshness {
  private confirmedAt: ClockReading | undefined;

  /** @param validityMs - How long a confirmation counts, in milliseconds. */
  constructor(private readonly validityMs: number) {}

  /**
   * Takes a confirmation in.
   *
   * @param sentAt - When the question was sent whose answer confirmed it.
   */
  confirm(sentAt: ClockReading): void {
    const isOlder =
      this.confirmedAt !== undefined &&
      sentAt.steadyMs < this.confirmedAt.steadyMs;
    if (!isOlder) this.confirmedAt = sentAt;
  }

  /** Says whether the view may be acted on. */
  isValid(now: ClockReading): boolean {
    if (this.confirmedAt === undefined) return false;
    return elapsedMs(this.confirmedAt, now) < this.validityMs;
  }

  /** Time since the last confirmation, in milliseconds. */
  ageMs(now: ClockReading): number {
    return this.confirmedAt === undefined
      ? Infinity
      : elapsedMs(this.confirmedAt, now);
  }
}
