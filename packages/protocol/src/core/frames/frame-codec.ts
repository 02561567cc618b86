import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {Decoder, Encoder} from 'cbor-x';
import {
  createFrameTooLongError,
  createMalformedFrameError,
} from './frame-errors.js';
import {frameSchema, segmentSchema} from './frame-schema.js';
import {SegmentJoiner} from './segment-joiner.js';
import type {Frame, SegmentFrame} from './types.js';
import {FrameKind, MAXIMUM_FRAME_BYTES} from './types.js';

/** Size of the buffer that the encoder keeps after a long message, in bytes. */
const ENCODER_BUFFER_BYTES = 65_536;

/** Size of the length prefix of a frame, in bytes. */
const PREFIX_BYTES = 4;

const CODEC_OPTIONS = {
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
};
/** Adds a method that the types of the library lack. */
interface BufferedEncoder extends Encoder {
  /** Encodes into another buffer from now on. */
  useBuffer(buffer: Buffer): void;
}

const encoder = new Encoder(CODEC_OPTIONS) as BufferedEncoder;
const decoder = new Decoder(CODEC_OPTIONS);
const mapDecoder = new Decoder({...CODEC_OPTIONS, mapsAsObjects: false});
/** Key that the decoder of objects renames. */
const RENAMED_KEY = Buffer.from('__proto__');
const KNOWN_KINDS: ReadonlySet<unknown> = new Set(Object.values(FrameKind));

/**
 * Encodes a frame with its length prefix.
 *
 * @param frame - The frame.
 * @returns The bytes to send, with the length prefix.
 * @throws SapphiregladeError of kind `frame-too-long`.
 */
export function encodeFrame(frame: Frame | SegmentFrame): Buffer {
  return addLengthPrefix(encodePayload(frame));
}

/**
 * Encodes a frame without its length prefix, of any length.
 *
 * @param frame - The frame.
 * @returns The payload of one frame, or the bytes to split into segments.
 */
export function encodePayload(frame: Frame | SegmentFrame): Buffer {
  const payload = encoder.encode(frame);
  // The encoder would keep a buffer of the length of the longest message.
  if (payload.length > ENCODER_BUFFER_BYTES)
    encoder.useBuffer(Buffer.allocUnsafeSlow(ENCODER_BUFFER_BYTES));
  return payload;
}

/**
 * Adds the length prefix to an encoded frame.
 *
 * @param payload - The encoded frame.
 * @returns The bytes to send.
 * @throws SapphiregladeError of kind `frame-too-long`.
 */
export function addLengthPrefix(payload: Buffer): Buffer {
  if (payload.length > MAXIMUM_FRAME_BYTES)
    throw createFrameTooLongError(payload.length, MAXIMUM_FRAME_BYTES);
  const prefix = Buffer.allocUnsafe(PREFIX_BYTES);
  prefix.writeUInt32BE(payload.length);
  return Buffer.concat([prefix, payload]);
}

/**
 * Splits a byte stream into frames and joins segments. Each link has its own reader.
 */
export class FrameReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private neededBytes = PREFIX_BYTES;
  private readonly joiner = new SegmentJoiner();

  /**
   * Adds received bytes and yields the complete frames one at a time, so that
   * the frames before a malformed one are still processed.
   *
   * @param chunk - The received bytes.
   * @throws SapphiregladeError of kind `frame-too-long`, `frame-malformed` or
   *   `frame-unknown-kind`; the link must then be closed.
   */
  *push(chunk: Buffer): Generator<Frame, void> {
    this.chunks.push(chunk);
    this.bufferedBytes += chunk.length;
    for (;;) {
      const payload = this.takePayload();
      if (payload === undefined) return;
      const frame = this.decode(payload);
      if (frame !== undefined) yield frame;
    }
  }

  /** Decodes one payload; returns undefined for a segment that completes no message. */
  private decode(payload: Buffer): Frame | undefined {
    const decoded = decodeCbor(payload);
    if (kindOf(decoded) !== FrameKind.Segment) return validateFrame(decoded);
    const segment = segmentSchema.safeParse(decoded);
    if (!segment.success) throw createMalformedFrameError(segment.error);
    const message = this.joiner.push(segment.data);
    return message && validateFrame(decodeCbor(message));
  }

  /**
   * Removes one complete payload from the buffer and returns it, if there is one.
   * Chunks are joined only once enough bytes are buffered, so that a frame in many
   * small chunks costs no more than one in few.
   */
  private takePayload(): Buffer | undefined {
    if (this.bufferedBytes < this.neededBytes) return undefined;
    const buffer = this.joinChunks();
    const length = buffer.readUInt32BE(0);
    if (length > MAXIMUM_FRAME_BYTES) {
      throw createFrameTooLongError(length, MAXIMUM_FRAME_BYTES);
    }
    const end = PREFIX_BYTES + length;
    this.neededBytes = end;
    if (buffer.length < end) return undefined;
    this.neededBytes = PREFIX_BYTES;
    this.chunks = [buffer.subarray(end)];
    this.bufferedBytes = buffer.length - end;
    return buffer.subarray(PREFIX_BYTES, end);
  }

  /** Joins the buffered chunks into one. */
  private joinChunks(): Buffer {
    if (this.chunks.length > 1) this.chunks = [Buffer.concat(this.chunks)];
    return this.chunks[0] ?? Buffer.alloc(0);
  }
}

/** Validates a decoded frame. */
function validateFrame(decoded: unknown): Frame {
  const result = frameSchema.safeParse(decoded);
  if (result.success) return result.data;
  const kind = kindOf(decoded);
  if (typeof kind === 'string' && !KNOWN_KINDS.has(kind)) {
    throw new SapphiregladeError(
      ErrorKind.FrameUnknownKind,
      'The frame has an unknown kind.',
    );
  }
  throw createMalformedFrameError(result.error);
}

function kindOf(decoded: unknown): unknown {
  return (decoded as {kind?: unknown} | null | undefined)?.kind;
}

/** Decodes CBOR; a payload that cannot be decoded is a malformed frame. */
function decodeCbor(payload: Buffer): unknown {
  try {
    return payload.includes(RENAMED_KEY)
      ? toObjects(mapDecoder.decode(payload))
      : decoder.decode(payload);
  } catch (cause) {
    throw createMalformedFrameError(cause);
  }
}

/** Turns decoded maps into objects that have each key as an own property. */
function toObjects(decoded: unknown): unknown {
  if (Array.isArray(decoded)) return decoded.map(toObjects);
  if (!(decoded instanceof Map)) return decoded;
  const entries: Array<[PropertyKey, unknown]> = [...decoded];
  return Object.fromEntries(
    entries.map(([key, value]) => [key, toObjects(value)]),
  );
}
