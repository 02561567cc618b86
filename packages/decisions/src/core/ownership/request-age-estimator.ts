import type {ClockReading} from '../primary-change/index.js';

/**
 * How long after a link was opened its first clock sample may arrive, in
 * milliseconds. A later message may have waited in this process.
 */
const FIRST_SAMPLE_LIMIT_MS = 300;

/** Difference between the clocks of this process and those of the peer. */
interface ClockOffset {
  readonly steadyMs: number;
  readonly wallMs: number;
}

/**
 * Estimates the age of a request from a peer whose clocks differ.
 *
 * A process that resumes after a freeze finds requests whose senders have
 * already timed out. Without the estimate, the time of these requests would
 * seem to begin when they are read. The smallest clock offset on a link
 * corresponds to the fastest transit; the excess of a request over it is its
 * age. Both clocks count, because the steady clock stops while a machine is
 * suspended.
 *
 * Source of the smallest offset as the estimate: Cristian, "Probabilistic
 * clock synchronization", 1989.
 */
export class RequestAgeEstimator {
  private smallestOffset: ClockOffset | undefined;

  /** @param openedAt - Local clocks when the link was opened. */
  constructor(private readonly openedAt: ClockReading) {}

  /**
   * Updates the clock offset from a message that has no deadline, so that a
   * link may be opened long before its first request.
   *
   * @param sentAt - Clocks of the peer when the message was sent.
   * @param now - Local clocks.
   */
  observeMessage(sentAt: ClockReading, now: ClockReading): void {
    const isUnreliable =
      this.smallestOffset === undefined &&
      this.sinceOpenedMs(now) > FIRST_SAMPLE_LIMIT_MS;
    if (!isUnreliable) this.estimateAgeMs(sentAt, now);
  }

  /**
   * Estimates the age of a request.
   *
   * @param sentAt - Clocks of the peer when the request was sent.
   * @param now - Local clocks.
   * @returns The age, in milliseconds. Without an earlier sample it is the time
   *   since the link was opened, which is an upper bound.
   */
  estimateAgeMs(sentAt: ClockReading, now: ClockReading): number {
    const offset = {
      steadyMs: now.steadyMs - sentAt.steadyMs,
      wallMs: now.wallMs - sentAt.wallMs,
    };
    if (this.smallestOffset === undefined) {
      this.smallestOffset = offset;
      return this.sinceOpenedMs(now);
    }
    const {smallestOffset: smallest} = this;
    this.smallestOffset = {
      steadyMs: Math.min(smallest.steadyMs, offset.steadyMs),
      wallMs: Math.min(smallest.wallMs, offset.wallMs),
    };
    return Math.max(
      0,
      offset.steadyMs - smallest.steadyMs,
      offset.wallMs - smallest.wallMs,
    );
  }

  private sinceOpenedMs(now: ClockReading): number {
    return Math.max(
      now.steadyMs - this.openedAt.steadyMs,
      now.wallMs - this.openedAt.wallMs,
    );
  }
}
