import type {ClockReading} from '../primary-change/index.js';

/** How long after a link was opened a message may come from which the way is learned, in milliseconds; a later one may have waited here. */
const FIRST_SAMPLE_LIMIT_MS = 300;

/** What one side's clocks showed, and what the other side's showed then. */
interface ClockOffset {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/**
 * Estimates how long ago a request was sent by a peer whose clocks differ.
 *
 * Answers the pattern of a process that wakes after a freeze and finds requests
 * whose senders have given up: without it their time would seem to begin when
 * they are read. The smallest difference of the clocks on a link is the fastest
 * way; whatever a request shows above it is its age. Both kinds of clock count,
 * because the steady one stands still while a machine is suspended.
 *
 * Source of the smallest difference as the estimate: Cristian, "Probabilistic
 * clock synchronization", 1989.
 */
export class RequestAgeEstimator {
  private smallestOffset: ClockOffset | undefined;

  /** @param openedAt - What the clocks here showed when the link was opened. */
  constructor(private readonly openedAt: ClockReading) {}

  /**
   * Learns how far the clocks are apart from a message that asks for nothing in
   * time, so that a link may be opened long before its first request.
   *
   * @param sentAt - What the peer's clocks showed when it was sent.
   * @param now - What the clocks here show.
   */
  observeMessage(sentAt: ClockReading, now: ClockReading): void {
    const isUnsure =
      this.smallestOffset === undefined &&
      this.sinceOpenedMs(now) > FIRST_SAMPLE_LIMIT_MS;
    if (!isUnsure) this.estimateAgeMs(sentAt, now);
  }

  /**
   * Estimates the age of a request.
   *
   * @param sentAt - What the peer's clocks showed when it was sent.
   * @param now - What the clocks here show.
   * @returns The age in milliseconds; for the first request the time since the
   *   link was opened, which is more, unless the way was learned before.
   */
  estimateAgeMs(sentAt: ClockReading, now: ClockReading): number {
    const difference = {
      steadyMs: now.steadyMs - sentAt.steadyMs,
      wallMs: now.wallMs - sentAt.wallMs,
    };
    if (this.smallestOffset === undefined) {
      this.smallestOffset = difference;
      return this.sinceOpenedMs(now);
    }
    const {smallestOffset: smallest} = this;
    this.smallestOffset = {
      steadyMs: Math.min(smallest.steadyMs, difference.steadyMs),
      wallMs: Math.min(smallest.wallMs, difference.wallMs),
    };
    return Math.max(
      0,
      difference.steadyMs - smallest.steadyMs,
      difference.wallMs - smallest.wallMs,
    );
  }

  private sinceOpenedMs(now: ClockReading): number {
    return Math.max(
      now.steadyMs - this.openedAt.steadyMs,
      now.wallMs - this.openedAt.wallMs,
    );
  }
}
