import type {Socket} from 'node:net';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {
  encodeFrame,
  FrameKind,
  MAXIMUM_MESSAGE_BYTES,
  SEGMENT_BYTES,
  SegmentPosition,
} from '../frames/index.js';

/** Most bytes of messages that wait on one link to be sent in segments. */
const MAXIMUM_WAITING_BYTES = 2 * MAXIMUM_MESSAGE_BYTES;

/** A message of which some segments have not been sent. */
interface WaitingMessage {
  readonly payload: Buffer;
  /** Whether the message is still of use to its sender. */
  readonly isWanted: () => boolean;
}

/**
 * Sends long messages of one link in segments, one message after another.
 *
 * A segment is written only once the socket has accepted the previous ones, so
 * frames that are sent meanwhile wait for one segment at most.
 */
export class OutgoingMessages {
  private readonly waiting: WaitingMessage[] = [];
  private waitingBytes = 0;
  /** Bytes of the first message that were written. */
  private sentBytes = 0;

  /**
   * @param socket - The socket of the link.
   * @param write - Writes an encoded frame to the socket.
   */
  constructor(
    private readonly socket: Socket,
    private readonly write: (bytes: Buffer) => void,
  ) {
    socket.on('drain', () => this.writeSegments());
  }

  /** Bytes of messages that may be added. */
  get freeBytes(): number {
    return MAXIMUM_WAITING_BYTES - this.waitingBytes;
  }

  /**
   * Sends a message as the socket accepts it.
   *
   * @param payload - The encoded frame.
   * @param isWanted - Returns whether the message is still of use; the rest of it
   *   is not sent otherwise.
   * @throws SapphiregladeError of kind `overloaded` if too much waits already;
   *   nothing was sent then.
   */
  add(payload: Buffer, isWanted: () => boolean): void {
    if (payload.length > this.freeBytes) {
      throw new SapphiregladeError(
        ErrorKind.Overloaded,
        'Too many bytes wait to be sent over the link.',
      );
    }
    this.waiting.push({payload, isWanted});
    this.waitingBytes += payload.length;
    this.writeSegments();
  }

  /** Discards all messages, because the link has closed. */
  clear(): void {
    this.waiting.length = 0;
    this.waitingBytes = 0;
  }

  private writeSegments(): void {
    const {socket} = this;
    // Above the mark, the socket emits 'drain' once it has accepted all bytes.
    while (socket.writableLength < socket.writableHighWaterMark) {
      const message = this.waiting[0];
      if (message === undefined) return;
      this.writeSegment(message);
    }
  }

  private writeSegment({payload, isWanted}: WaitingMessage): void {
    const start = this.sentBytes;
    if (!isWanted()) {
      this.removeFirst(payload);
      if (start > 0) {
        this.writeFrame(SegmentPosition.Cancelled, Buffer.alloc(0));
      }
      return;
    }
    const end = Math.min(start + SEGMENT_BYTES, payload.length);
    const isLast = end === payload.length;
    if (isLast) this.removeFirst(payload);
    else this.sentBytes = end;
    const position = isLast ? SegmentPosition.Last : SegmentPosition.Inner;
    this.writeFrame(position, payload.subarray(start, end));
  }

  private removeFirst(payload: Buffer): void {
    this.waiting.shift();
    this.waitingBytes -= payload.length;
    this.sentBytes = 0;
  }

  private writeFrame(position: SegmentPosition, data: Buffer): void {
    this.write(encodeFrame({kind: FrameKind.Segment, position, data}));
  }
}
