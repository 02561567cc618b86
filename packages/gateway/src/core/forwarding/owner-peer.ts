import {Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {Link, LinkDialer} from '@sapphireglade/protocol';
import type {MemberRecord} from '../membership/index.js';
import {steadyNowMs} from '../time/index.js';

/** Weight of one answer in the smoothed time of answers. */
const RESPONSE_TIME_WEIGHT = 0.1;

/** Time of an answer that is assumed before the first one, in milliseconds. */
const INITIAL_RESPONSE_TIME_MS = 20;

/** How long an owner is asked last after its link failed, in milliseconds; it doubles. */
const INITIAL_AVOIDANCE_MS = 500;

/** Longest such time, in milliseconds; a dead owner is off the list by then. */
const MAXIMUM_AVOIDANCE_MS = 4_000;

/** How much longer than the owner an entry proxy waits, in milliseconds. */
const RESPONSE_MARGIN_MS = 50;

/** How long a link may be in use that belongs to an earlier start of its peer, in milliseconds. */
const RETIRED_LINK_LIFETIME_MS = 10_000;

/** What an owner answered, or how it did not. */
export type PeerResult =
  | {readonly kind: 'answered'; readonly body: unknown; readonly link: Link}
  | {
      readonly kind: 'failed';
      /** Whether a byte of the request may have reached the owner. */
      readonly wasSent: boolean;
      readonly reason: string;
    };

/** One proxy that owns groups, seen from an entry proxy. */
export class OwnerPeer {
  private outstandingRequests = 0;
  private answerMs = INITIAL_RESPONSE_TIME_MS;
  private avoidUntilMs = 0;
  private avoidanceMs = INITIAL_AVOIDANCE_MS;

  /**
   * @param record - What the proxy publishes of itself.
   * @param dialer - Opens the link to it.
   */
  constructor(
    readonly record: MemberRecord,
    private readonly dialer: LinkDialer,
  ) {}

  /** Name of the proxy. */
  get name(): string {
    return this.record.name;
  }

  /** Whether the link is open. */
  get isOpen(): boolean {
    return this.dialer.current !== undefined;
  }

  /** What is known of its load. */
  get load(): {
    outstandingRequests: number;
    answerMs: number;
    avoidUntilMs: number;
  } {
    const {outstandingRequests: outstanding, answerMs, avoidUntilMs} = this;
    return {outstandingRequests: outstanding, answerMs, avoidUntilMs};
  }

  /**
   * Sends a request, over a new link if none is open.
   *
   * @param encode - Makes the request, just before it is sent.
   * @param deadlineMs - Until when it is worth running, in milliseconds of the
   *   steady clock.
   */
  async request(
    encode: () => unknown,
    deadlineMs: number,
  ): Promise<PeerResult> {
    const beganAtMs = steadyNowMs();
    this.outstandingRequests += 1;
    try {
      const link = await this.dialer.open();
      const result = await this.requestOverLink(link, encode(), deadlineMs);
      if (result.kind === 'answered')
        this.recordResponseTime(steadyNowMs() - beganAtMs);
      return result;
    } catch (error) {
      if (!(error instanceof SapphiregladeError)) throw error;
      return this.failed(error);
    } finally {
      this.outstandingRequests -= 1;
    }
  }

  /** Sends a request over a link that was opened before. */
  async requestOverLink(
    link: Link,
    body: unknown,
    deadlineMs: number,
  ): Promise<PeerResult> {
    const remainingMs = deadlineMs - steadyNowMs() + RESPONSE_MARGIN_MS;
    try {
      const answer = await link.request(body, Math.max(1, remainingMs));
      this.avoidUntilMs = 0;
      this.avoidanceMs = INITIAL_AVOIDANCE_MS;
      return {kind: 'answered', body: answer, link};
    } catch (error) {
      if (!(error instanceof SapphiregladeError)) throw error;
      return this.failed(error);
    }
  }

  private recordResponseTime(tookMs: number): void {
    this.answerMs += RESPONSE_TIME_WEIGHT * (tookMs - this.answerMs);
  }

  private failed(error: SapphiregladeError): PeerResult {
    this.avoidUntilMs = steadyNowMs() + this.avoidanceMs;
    this.avoidanceMs = Math.min(MAXIMUM_AVOIDANCE_MS, this.avoidanceMs * 2);
    const wasSent = error.outcome !== Outcome.NotRun;
    return {kind: 'failed', wasSent, reason: error.message};
  }

  /** Opens no more links; what is under way may end. */
  retire(): void {
    setTimeout(() => this.stop(), RETIRED_LINK_LIFETIME_MS).unref();
  }

  /** Closes the link. */
  stop(): void {
    this.dialer.stop();
  }
}
