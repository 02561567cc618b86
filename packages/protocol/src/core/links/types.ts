import type {HybridLogicalClock} from '@sapphireglade/runtime';
import type {Link} from './link.js';

/** Who stands at one end of a link. */
export interface ProcessIdentity {
  /** Name of the process, which is the name of its VM. */
  readonly process: string;
  /** Identifies this run of the process. */
  readonly boot: string;
  /** Availability zone. */
  readonly zone: string;
}

/** Receives what arrives on links. */
export interface LinkHandlers {
  /**
   * Answers a request.
   *
   * @param body - The request, not yet checked.
   * @param peer - Who asks.
   * @param deadlineMs - How long the peer still waits, in milliseconds.
   * @param link - The link that it came over.
   */
  onRequest(
    body: unknown,
    peer: ProcessIdentity,
    deadlineMs: number,
    link: Link,
  ): Promise<unknown>;
  /** Takes a notice. */
  onNotification(body: unknown, peer: ProcessIdentity): void;
}

/** Limits on silence and waiting, in milliseconds. */
export interface LinkTimeouts {
  /** A ping is sent after this time without a frame from the peer. */
  readonly keepaliveIntervalMs: number;
  /** The link is closed after this time without a frame from the peer. */
  readonly keepaliveTimeoutMs: number;
  /** How long a connection attempt and the greeting may take. */
  readonly openTimeoutMs: number;
  /**
   * Whether silence is looked for while no request waits. Without it a link
   * that carries nothing costs nothing, and its loss is found by its next
   * request.
   */
  readonly shouldPingIdleLinks: boolean;
  /** A link is closed after this time without a frame; never if left out. */
  readonly idleTimeoutMs?: number;
}

/** What both ends of every link of a process share. */
export interface LinkContext {
  readonly identity: ProcessIdentity;
  readonly clock: HybridLogicalClock;
  readonly handlers: LinkHandlers;
  readonly timings: LinkTimeouts;
}

/** Limits that suit links between the zones of one country. */
export const DEFAULT_LINK_TIMEOUTS: LinkTimeouts = {
  keepaliveIntervalMs: 300,
  keepaliveTimeoutMs: 1_000,
  openTimeoutMs: 1_000,
  shouldPingIdleLinks: true,
};

/** What a link has counted. */
export interface LinkCounters {
  bytesSent: number;
  bytesReceived: number;
  framesSent: number;
  framesReceived: number;
  /** Answers whose request had finished or was unknown. */
  lateResponses: number;
}
