import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {Decoder, Encoder} from 'cbor-x';
import {frameSchema} from './frame-schema.js';
import type {Frame} from './types.js';
import {FrameKind, MAXIMUM_FRAME_BYTES} from './types.js';

/** Length of the prefix that gives the length of the frame, in bytes. */
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
 * @returns The bytes to send.
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

/** Cuts a stream of bytes into frames. One reader serves one link. */
export class FrameReader {
  private chunks: Buffer[] = [];
  private bufferedBytes = 0;
  private neededBytes = PREFIX_BYTES;

  /**
   * Takes bytes in and gives the frames that are complete, one by one, so that
   * the frames before a broken one still count.
   *
   * @param chunk - The bytes that arrived.
   * @throws SapphiregladeError of kind `frame-too-long`, `frame-malformed` or
   *   `frame-unknown-kind`; the link must be closed then.
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
   * Takes one complete payload out of the buffer, if there is one. Chunks are
   * joined only when enough bytes are there, so that a frame in many small
   * pieces costs no more than one in few.
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

/** Decodes and checks one payload. */
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

/** Decodes CBOR; anything that cannot be decoded is a malformed frame. */
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
