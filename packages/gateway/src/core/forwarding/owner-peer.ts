import {Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {Link, LinkDialer} from '@sapphireglade/protocol';
import type {MemberRecord} from '../membership/index.js';
import {steadyNow} from '../time/index.js';

/** Weight of one answer in the smoothed time of answers. */
const ANSWER_WEIGHT = 0.1;

/** Time of an answer that is assumed before the first one, in milliseconds. */
const INITIAL_ANSWER_MS = 20;

/** How long an owner is asked last after its link failed, in milliseconds; it doubles. */
const FIRST_AVOIDANCE_MS = 500;

/** Longest such time, in milliseconds; a dead owner is off the list by then. */
const MAXIMUM_AVOIDANCE_MS = 4_000;

/** How much longer than the owner an entry proxy waits, in milliseconds. */
const ANSWER_SLACK_MS = 50;

/** How long a link may be in use that belongs to an earlier start of its peer, in milliseconds. */
const RETIREMENT_MS = 10_000;

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
  private outstanding = 0;
  private answerMs = INITIAL_ANSWER_MS;
  private avoidUntilMs = 0;
  private avoidanceMs = FIRST_AVOIDANCE_MS;

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
  get load(): {outstanding: number; answerMs: number; avoidUntilMs: number} {
    const {outstanding, answerMs, avoidUntilMs} = this;
    return {outstanding, answerMs, avoidUntilMs};
  }

  /**
   * Sends a request, over a new link if none is open.
   *
   * @param encode - Makes the request, just before it is sent.
   * @param deadlineMs - Until when it is worth running, in milliseconds of the
   *   steady clock.
   */
  async ask(encode: () => unknown, deadlineMs: number): Promise<PeerResult> {
    const beganAtMs = steadyNow();
    this.outstanding += 1;
    try {
      const link = await this.dialer.open();
      const result = await this.askOver(link, encode(), deadlineMs);
      if (result.kind === 'answered') this.observe(steadyNow() - beganAtMs);
      return result;
    } catch (error) {
      if (!(error instanceof SapphiregladeError)) throw error;
      return this.failed(error);
    } finally {
      this.outstanding -= 1;
    }
  }

  /** Sends a request over a link that was opened before. */
  async askOver(
    link: Link,
    body: unknown,
    deadlineMs: number,
  ): Promise<PeerResult> {
    const remainingMs = deadlineMs - steadyNow() + ANSWER_SLACK_MS;
    try {
      const answer = await link.request(body, Math.max(1, remainingMs));
      this.avoidUntilMs = 0;
      this.avoidanceMs = FIRST_AVOIDANCE_MS;
      return {kind: 'answered', body: answer, link};
    } catch (error) {
      if (!(error instanceof SapphiregladeError)) throw error;
      return this.failed(error);
    }
  }

  private observe(tookMs: number): void {
    this.answerMs += ANSWER_WEIGHT * (tookMs - this.answerMs);
  }

  private failed(error: SapphiregladeError): PeerResult {
    this.avoidUntilMs = steadyNow() + this.avoidanceMs;
    this.avoidanceMs = Math.min(MAXIMUM_AVOIDANCE_MS, this.avoidanceMs * 2);
    const wasSent = error.outcome !== Outcome.NotRun;
    return {kind: 'failed', wasSent, reason: error.message};
  }

  /** Opens no more links; what is under way may end. */
  retire(): void {
    setTimeout(() => this.stop(), RETIREMENT_MS).unref();
  }

  /** Closes the link. */
  stop(): void {
    this.dialer.stop();
  }
}
