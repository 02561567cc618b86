import type {HybridTimestamp} from '@sapphireglade/decisions';

/** Version of the protocol between proxies. */
export const PROTOCOL_VERSION = 1;

/** Longest frame, in bytes, without its length prefix. */
export const MAXIMUM_FRAME_BYTES = 2_097_152;

/** The kinds of frame on a link. */
export const FrameKind = {
  /** First frame in each direction. */
  Hello: 'hello',
  /** Asks for a pong; finds silence. */
  Ping: 'ping',
  /** Answers a ping. */
  Pong: 'pong',
  /** Asks for an answer. */
  Request: 'request',
  /** Answers a request. */
  Response: 'answer',
  /** Needs no answer. */
  Notification: 'notice',
} as const;

/** One of the kinds. */
export type FrameKind = (typeof FrameKind)[keyof typeof FrameKind];

/** Fields of every frame. */
interface FrameBase {
  /** Clock of the sender, so that causes stand before effects. */
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

/** Asks for a pong. */
export interface PingFrame extends FrameBase {
  readonly kind: typeof FrameKind.Ping;
}

/** Answers a ping. */
export interface PongFrame extends FrameBase {
  readonly kind: typeof FrameKind.Pong;
}

/** Asks for an answer. */
export interface RequestFrame extends FrameBase {
  readonly kind: typeof FrameKind.Request;
  /** Repeated by the answer. */
  readonly correlation: number;
  /** Time that the sender still waits, in milliseconds. */
  readonly deadlineMs: number;
  /** One of the peer requests. */
  readonly body: unknown;
}

/** Answers a request. */
export interface ResponseFrame extends FrameBase {
  readonly kind: typeof FrameKind.Response;
  readonly correlation: number;
  /** One of the peer answers. */
  readonly body: unknown;
}

/** Needs no answer. */
export interface NotificationFrame extends FrameBase {
  readonly kind: typeof FrameKind.Notification;
  /** One of the peer notices. */
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
