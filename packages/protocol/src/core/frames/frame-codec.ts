import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {Decoder, Encoder} from 'cbor-x';
import {frameSchema} from './frame-schema.js';
import type {Frame} from './types.js';
import {FrameKind, MAXIMUM_FRAME_BYTES} from './types.js';

/** Size of the length prefix of a frame, in bytes. */
const PREFIX_BYTES = 4;

const CODEC_OPTIONS = {
  useRecords: false,
  mapsAsObjects: true,
  tagUint8Array: false,
};
const encoder = new Encoder(CODEC_OPTIONS);
const decoder = new Decoder(CODEC_OPTIONS);
const KNOWN_KINDS: ReadonlySet<unknown> = new Set(Object.values(FrameKind));

/**
 * Encodes a frame with its length prefix.
 *
 * @param frame - The frame.
 * @returns The bytes to send, with the length prefix.
 * @throws SapphiregladeError of kind `frame-too-long`.
 */
export function encodeFrame(frame: Frame): Buffer {
  const payload = encoder.encode(frame);
  if (payload.length > MAXIMUM_FRAME_BYTES)
    throw createFrameTooLongError(payload.length);
  const prefix = Buffer.allocUnsafe(PREFIX_BYTES);
  prefix.writeUInt32BE(payload.length);
  return Buffer.concat([prefix, payload]);
}

/** Splits a byte stream into frames. Each link has its own reader. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private neededBytes = PREFIX_BYTES;

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
      yield decodePayload(payload);
    }
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
    if (length > MAXIMUM_FRAME_BYTES) throw createFrameTooLongError(length);
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

/** Decodes and validates one payload. */
function decodePayload(payload: Buffer): Frame {
  const decoded = decodeCbor(payload);
  const result = frameSchema.safeParse(decoded);
  if (result.success) return result.data;
  const kind = (decoded as {kind?: unknown} | null)?.kind;
  if (typeof kind === 'string' && !KNOWN_KINDS.has(kind)) {
    throw new SapphiregladeError(
      ErrorKind.FrameUnknownKind,
      'The frame has an unknown kind.',
    );
  }
  throw createMalformedFrameError(result.error);
}

/** Decodes CBOR; a payload that cannot be decoded is a malformed frame. */
function decodeCbor(payload: Buffer): unknown {
  try {
    return decoder.decode(payload);
  } catch (cause) {
    throw createMalformedFrameError(cause);
  }
}

function createMalformedFrameError(cause: unknown): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.FrameMalformed,
    'The frame cannot be decoded.',
    {cause},
  );
}

function createFrameTooLongError(length: number): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.FrameTooLong,
    `The frame has ${length} bytes; ${MAXIMUM_FRAME_BYTES} are allowed.`,
  );
}
