import type {HybridTimestamp} from '@sapphireglade/decisions';

/** Version of the protocol between proxies. */
export const PROTOCOL_VERSION = 1;

/** Largest frame without its length prefix, in bytes. */
export const MAXIMUM_FRAME_BYTES = 2_097_152;

/** The kinds of frame on a link. */
export const FrameKind = {
  /** First frame in each direction. */
  Hello: 'hello',
  /** Requests a pong, to detect an unresponsive peer. */
  Ping: 'ping',
  /** Response to a ping. */
  Pong: 'pong',
  /** Request that expects a response. */
  Request: 'request',
  /** Response to a request. */
  Response: 'answer',
  /** Message without a response. */
  Notification: 'notice',
} as const;

/** The kind of a frame. */
export type FrameKind = (typeof FrameKind)[keyof typeof FrameKind];

/** Fields of every frame. */
interface FrameBase {
  /**
   * Timestamp of the sender's clock, so that causes are ordered before their
   * effects.
   */
  readonly clock: HybridTimestamp;
}

/** First frame in each direction. */
export interface HelloFrame extends FrameBase {
  readonly kind: typeof FrameKind.Hello;
  readonly version: number;
  /** Name of the sender. */
  readonly process: string;
  /** Identifies this run of the sender. */
  readonly boot: string;
  /** Availability zone of the sender. */
  readonly zone: string;
}

/** Requests a pong. */
export interface PingFrame extends FrameBase {
  readonly kind: typeof FrameKind.Ping;
}

/** Response to a ping. */
export interface PongFrame extends FrameBase {
  readonly kind: typeof FrameKind.Pong;
}

/** Request that expects a response. */
export interface RequestFrame extends FrameBase {
  readonly kind: typeof FrameKind.Request;
  /** Identifies the request; its response has the same value. */
  readonly correlation: number;
  /** Time that the sender waits for the response, in milliseconds. */
  readonly deadlineMs: number;
  /** One of the peer requests. */
  readonly body: unknown;
}

/** Response to a request. */
export interface ResponseFrame extends FrameBase {
  readonly kind: typeof FrameKind.Response;
  readonly correlation: number;
  /** One of the peer responses. */
  readonly body: unknown;
}

/** Message without a response. */
export interface NotificationFrame extends FrameBase {
  readonly kind: typeof FrameKind.Notification;
  /** One of the peer notifications. */
  readonly body: unknown;
}

/** Any frame. */
export type Frame =
  | HelloFrame
  | PingFrame
  | PongFrame
  | RequestFrame
  | ResponseFrame
  | NotificationFrame;
