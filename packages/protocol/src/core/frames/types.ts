import type {HybridTimestamp} from '@sapphireglade/decisions';

/** Version of the protocol between proxies. */
export const PROTOCOL_VERSION = 1;

/** Largest frame without its length prefix, in bytes. */
export const MAXIMUM_FRAME_BYTES = 2_097_152;

/**
 * Largest part of a message that one segment carries, in bytes. Longer messages are
 * split for peers that accept segments.
 */
export const SEGMENT_BYTES = 262_144;

/** Smallest part that a segment other than the last one carries, in bytes. */
export const MINIMUM_SEGMENT_BYTES = 4_096;

/** Largest message that is sent in segments, in bytes; a reader holds at most one. */
export const MAXIMUM_MESSAGE_BYTES = 33_554_432;

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
  /** Part of a message that is too long for one frame. */
  Segment: 'segment',
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
  /**
   * Largest message that the sender accepts in segments, in bytes. Without it, the
   * sender accepts no segments and no frame above `MAXIMUM_FRAME_BYTES`.
   */
  readonly maximumMessageBytes?: number | undefined;
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

/** What follows a segment on the link. */
export const SegmentPosition = {
  /** Further segments of the message follow, possibly after other frames. */
  Inner: 'inner',
  /** The message is complete. */
  Last: 'last',
  /** The sender has given up the message; the receiver discards its segments. */
  Cancelled: 'cancelled',
} as const;

/** A value of {@link SegmentPosition}. */
export type SegmentPosition =
  (typeof SegmentPosition)[keyof typeof SegmentPosition];

/**
 * Part of an encoded frame. The segments of one message are sent in order and are
 * not mixed with those of another; other frames may be sent between them.
 */
export interface SegmentFrame {
  readonly kind: typeof FrameKind.Segment;
  readonly position: SegmentPosition;
  /** The bytes of this part; empty if the message was cancelled. */
  readonly data: Uint8Array;
}

/** Any frame, after segments have been joined. */
export type Frame =
  | HelloFrame
  | PingFrame
  | PongFrame
  | RequestFrame
  | ResponseFrame
  | NotificationFrame;
