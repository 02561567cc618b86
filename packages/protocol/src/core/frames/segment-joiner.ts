import {
  createFrameTooLongError,
  createMalformedFrameError,
} from './frame-errors.js';
import type {SegmentFrame} from './types.js';
import {
  MAXIMUM_MESSAGE_BYTES,
  MINIMUM_SEGMENT_BYTES,
  SegmentPosition,
} from './types.js';

/** Joins the segments of one message at a time. */
export class SegmentJoiner {
  private parts: Buffer[] = [];
  private heldBytes = 0;

  /**
   * Adds a segment.
   *
   * @param segment - The segment.
   * @returns The encoded frame once its last segment was added.
   * @throws SapphiregladeError of kind `frame-too-long` if the message exceeds
   *   `MAXIMUM_MESSAGE_BYTES`, or `frame-malformed` if an inner segment is too short.
   */
  push({position, data}: SegmentFrame): Buffer | undefined {
    if (position === SegmentPosition.Cancelled) {
      this.take();
      return undefined;
    }
    const isLast = position === SegmentPosition.Last;
    // Bounds the number of parts, and with it the memory that they cost beyond their bytes.
    if (!isLast && data.length < MINIMUM_SEGMENT_BYTES) {
      throw createMalformedFrameError('An inner segment is too short.');
    }
    this.heldBytes += data.length;
    if (this.heldBytes > MAXIMUM_MESSAGE_BYTES) {
      throw createFrameTooLongError(this.heldBytes, MAXIMUM_MESSAGE_BYTES);
    }
    // A copy, because the decoded part refers to the buffer of the whole chunk.
    this.parts.push(Buffer.from(data));
    return isLast ? Buffer.concat(this.take()) : undefined;
  }

  /** Removes all parts and returns them. */
  private take(): Buffer[] {
    const {parts} = this;
    this.parts = [];
    this.heldBytes = 0;
    return parts;
  }
}
