import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {Link, LinkDialer} from '@sapphireglade/protocol';
import type {MemberRecord} from '../membership/index.js';
import {steadyNowMs} from '../time/index.js';

/** Weight of one response in the smoothed response time. */
const RESPONSE_TIME_WEIGHT = 0.1;

/** Response time assumed before the first response, in milliseconds. */
const INITIAL_RESPONSE_TIME_MS = 20;

/** Time for which an owner is the last choice after its link failed, in milliseconds; doubles with each failure. */
const INITIAL_AVOIDANCE_MS = 500;

/** Maximum of that time, in milliseconds; a failed owner is removed from the member list by then. */
const MAXIMUM_AVOIDANCE_MS = 4_000;

/** Time that an entry proxy waits for a response beyond the deadline of the owner, in milliseconds. */
const RESPONSE_MARGIN_MS = 50;

/** Time for which a link to an earlier incarnation of a peer may stay in use, in milliseconds. */
const RETIRED_LINK_LIFETIME_MS = 10_000;

/** The response of an owner, or the failure to get one. */
export type PeerResult =
  | {readonly kind: 'answered'; readonly body: unknown; readonly link: Link}
  /** This proxy could not send the request, for a reason that is no fault of the owner. */
  | {readonly kind: 'refused'; readonly error: SapphiregladeError}
  | {
      readonly kind: 'failed';
      /** Whether a byte of the request may have reached the owner. */
      readonly wasSent: boolean;
      readonly reason: string;
    };

/** Errors of requests of which nothing was sent, over a link that stays usable. */
const UNSENT_REQUEST_ERRORS: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  ErrorKind.FrameTooLong,
  ErrorKind.Overloaded,
  ErrorKind.Internal,
]);

/** A proxy that owns groups, as the peer of an entry proxy. */
export class OwnerPeer {
  private outstandingRequests = 0;
  private answerMs = INITIAL_RESPONSE_TIME_MS;
  private avoidUntilMs = 0;
  private avoidanceMs = INITIAL_AVOIDANCE_MS;

  /**
   * @param record - The member record of the proxy.
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

  /** Whether the last request to the proxy failed. */
  get isFailing(): boolean {
    return this.avoidanceMs > INITIAL_AVOIDANCE_MS;
  }

  /** Load and health of the proxy, as measured by this proxy. */
  get load(): {
    outstandingRequests: number;
    answerMs: number;
    avoidUntilMs: number;
  } {
    const {outstandingRequests, answerMs, avoidUntilMs} = this;
    return {outstandingRequests, answerMs, avoidUntilMs};
  }

  /**
   * Sends a request, and opens a link first if none is open.
   *
   * @param encode - Encodes the request, just before it is sent.
   * @param deadlineMs - Deadline of the request, in milliseconds of the steady
   *   clock.
   */
  async request(
    encode: () => unknown,
    deadlineMs: number,
  ): Promise<PeerResult> {
    const startedAtMs = steadyNowMs();
    this.outstandingRequests += 1;
    try {
      const link = await this.dialer.open();
      const result = await this.requestOverLink(link, encode(), deadlineMs);
      if (result.kind === 'answered')
        this.recordResponseTime(steadyNowMs() - startedAtMs);
      return result;
    } catch (error) {
      if (!(error instanceof SapphiregladeError)) throw error;
      return this.failed(error);
    } finally {
      this.outstandingRequests -= 1;
    }
  }

  /** Sends a request over a link that is already open. */
  async requestOverLink(
    link: Link,
    body: unknown,
    deadlineMs: number,
  ): Promise<PeerResult> {
    const remainingMs = deadlineMs - steadyNowMs() + RESPONSE_MARGIN_MS;
    try {
      const response = await link.request(body, Math.max(1, remainingMs));
      this.avoidUntilMs = 0;
      this.avoidanceMs = INITIAL_AVOIDANCE_MS;
      return {kind: 'answered', body: response, link};
    } catch (error) {
      if (!(error instanceof SapphiregladeError)) throw error;
      return this.failed(error);
    }
  }

  private recordResponseTime(durationMs: number): void {
    this.answerMs += RESPONSE_TIME_WEIGHT * (durationMs - this.answerMs);
  }

  private failed(error: SapphiregladeError): PeerResult {
    const isRefused =
      error.outcome === Outcome.NotRun && UNSENT_REQUEST_ERRORS.has(error.kind);
    if (isRefused) return {kind: 'refused', error};
    this.avoidUntilMs = steadyNowMs() + this.avoidanceMs;
    this.avoidanceMs = Math.min(MAXIMUM_AVOIDANCE_MS, this.avoidanceMs * 2);
    const wasSent = error.outcome !== Outcome.NotRun;
    return {kind: 'failed', wasSent, reason: error.message};
  }

  /** Closes the link after a delay, so that pending requests can finish. */
  retire(): void {
    setTimeout(() => this.stop(), RETIRED_LINK_LIFETIME_MS).unref();
  }

  /** Closes the link. */
  stop(): void {
    this.dialer.stop();
  }
}
