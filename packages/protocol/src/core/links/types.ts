import type {HybridLogicalClock} from '@sapphireglade/runtime';
import type {Link} from './link.js';

/** Identity of the process at one end of a link. */
export interface ProcessIdentity {
  /** Name of the process, which is the name of its VM. */
  readonly process: string;
  /** Identifies the run of the process. */
  readonly boot: string;
  /** Availability zone. */
  readonly zone: string;
}

/** Handles requests and notifications that arrive on links. */
export interface LinkHandlers {
  /**
   * Handles a request.
   *
   * @param body - The request, not yet validated.
   * @param peer - The process that sent the request.
   * @param deadlineMs - How long the peer waits for the response, in milliseconds.
   * @param link - The link on which the request arrived.
   * @returns The body of the response. If the promise is rejected or the body cannot
   *   be sent, the peer receives a response without a body.
   */
  onRequest(
    body: unknown,
    peer: ProcessIdentity,
    deadlineMs: number,
    link: Link,
  ): Promise<unknown>;
  /** Handles a notification. */
  onNotification(body: unknown, peer: ProcessIdentity): void;
}

/** Timeouts of a link, in milliseconds. */
export interface LinkTimeouts {
  /** A ping is sent after this time without a frame from the peer. */
  readonly keepaliveIntervalMs: number;
  /** The link is closed after this time without a frame from the peer. */
  readonly keepaliveTimeoutMs: number;
  /** Timeout of a connection attempt including the hello frame. */
  readonly openTimeoutMs: number;
  /**
   * Whether a link is pinged while no request is pending. If false, an idle link
   * causes no traffic, and its loss is detected only by its next request.
   */
  readonly shouldPingIdleLinks: boolean;
  /**
   * A link is closed after this time without a frame in either direction; never
   * if omitted.
   */
  readonly idleTimeoutMs?: number;
}

/** Configuration shared by all links of a process. */
export interface LinkContext {
  readonly identity: ProcessIdentity;
  readonly clock: HybridLogicalClock;
  readonly handlers: LinkHandlers;
  readonly timings: LinkTimeouts;
}

/** Timeouts that suit links between the availability zones of one country. */
export const DEFAULT_LINK_TIMEOUTS: LinkTimeouts = {
  keepaliveIntervalMs: 300,
  keepaliveTimeoutMs: 1_000,
  openTimeoutMs: 1_000,
  shouldPingIdleLinks: true,
};

/** Counters of a link's traffic. */
export interface LinkCounters {
  bytesSent: number;
  bytesReceived: number;
  framesSent: number;
  framesReceived: number;
  /** Responses whose request had already finished or was unknown. */
  lateResponses: number;
  /**
   * Requests that were answered with an empty body, because their handler failed or
   * their response could not be sent.
   */
  failedRequests: number;
  /** Notifications that were not sent, because they were too long. */
  droppedNotifications: number;
}
