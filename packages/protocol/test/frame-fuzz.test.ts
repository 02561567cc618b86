import {describe, it} from 'node:test';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {Encoder} from 'cbor-x';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Frame} from '../src/index.js';
import {encodeFrame, FrameReader, MAXIMUM_FRAME_BYTES} from '../src/index.js';

/** Size of the chunks of a long frame, in bytes. */
const CHUNK_BYTES = 8;

const OPTIONS = {seed: 20_261, numRuns: 500};

const FRAME_ERRORS: ReadonlySet<ErrorKind> = new Set([
  ErrorKind.FrameTooLong,
  ErrorKind.FrameMalformed,
  ErrorKind.FrameUnknownKind,
]);

/** Generates objects with the default prototype, like those of the decoder. */
const PLAIN = {noNullPrototype: true};

const clock = fc.record({wallMs: fc.nat(), counter: fc.nat(1_000)}, PLAIN);
const frame: fc.Arbitrary<Frame> = fc.oneof(
  fc.record({kind: fc.constant('ping' as const), clock}, PLAIN),
  fc.record(
    {
      kind: fc.constant('request' as const),
      clock,
      correlation: fc.nat(),
      deadlineMs: fc.nat(10_000),
      body: fc.record({type: fc.string(), text: fc.string()}, PLAIN),
    },
    PLAIN,
  ),
  fc.record(
    {
      kind: fc.constant('notice' as const),
      clock,
      body: fc.record({rows: fc.array(fc.string())}, PLAIN),
    },
    PLAIN,
  ),
);

/** Reads bytes; returns the frames before any error, and the kind of the error. */
function readFrames(chunks: readonly Buffer[]): {
  frames: Frame[];
  error: ErrorKind | undefined;
} {
  const reader = new FrameReader();
  const frames: Frame[] = [];
  try {
    for (const chunk of chunks) frames.push(...reader.push(chunk));
    return {frames, error: undefined};
  } catch (error) {
    if (!(error instanceof SapphiregladeError)) throw error;
    return {frames, error: error.kind};
  }
}

/** Splits bytes at the given offsets. */
function splitAt(bytes: Buffer, offsets: readonly number[]): Buffer[] {
  const ends = [...offsets.map(offset => offset % (bytes.length + 1))];
  const sorted = [0, ...ends.sort((a, b) => a - b), bytes.length];
  return sorted
    .slice(1)
    .map((end, index) => bytes.subarray(sorted[index], end));
}

function withPrefix(payload: Uint8Array): Buffer {
  const prefix = Buffer.alloc(4);
  prefix.writeUInt32BE(payload.length);
  return Buffer.concat([prefix, payload]);
}

describe('FrameReader under random input', () => {
  it('decodes the same frames wherever the bytes are split', () => {
    fc.assert(
      fc.property(
        fc.array(frame, {maxLength: 5}),
        fc.array(fc.nat(), {maxLength: 20}),
        (frames, offsets) => {
          const bytes = Buffer.concat(frames.map(encodeFrame));
          const {frames: decoded, error} = readFrames(splitAt(bytes, offsets));
          expect(decoded).toEqual(frames);
          expect(error).toEqual(undefined);
        },
      ),
      OPTIONS,
    );
  });

  it('decodes random bytes to frames or a frame error only', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 300}), bytes => {
        const {error} = readFrames([Buffer.from(bytes)]);
        expect(error === undefined || FRAME_ERRORS.has(error)).toEqual(true);
      }),
      OPTIONS,
    );
  });

  it('rejects random payloads with a frame error', () => {
    fc.assert(
      fc.property(fc.uint8Array({maxLength: 300}), payload => {
        const {frames, error} = readFrames([withPrefix(payload)]);
        expect(frames).toEqual([]);
        expect(error !== undefined && FRAME_ERRORS.has(error)).toEqual(true);
      }),
      OPTIONS,
    );
  });

  it('decodes a frame with one changed byte to frames or a frame error', () => {
    fc.assert(
      fc.property(frame, fc.nat(), fc.nat(255), (original, offset, value) => {
        const bytes = encodeFrame(original);
        bytes[offset % bytes.length] = value;
        const {error} = readFrames([bytes]);
        expect(error === undefined || FRAME_ERRORS.has(error)).toEqual(true);
      }),
      OPTIONS,
    );
  });

  it('rejects a length above the limit before the payload arrives', () => {
    fc.assert(
      fc.property(
        fc.integer({min: MAXIMUM_FRAME_BYTES + 1, max: 0xffffffff}),
        length => {
          const prefix = Buffer.alloc(4);
          prefix.writeUInt32BE(length);
          expect(readFrames([prefix]).error).toEqual(ErrorKind.FrameTooLong);
        },
      ),
      OPTIONS,
    );
  });

  it('rejects deeply nested values with a frame error', () => {
    const depth = 500_000;
    const arrays = Buffer.alloc(depth, 0x81);
    expect(readFrames([withPrefix(arrays)]).error).toEqual(
      ErrorKind.FrameMalformed,
    );
  });

  it('reads a long frame that arrives in very small chunks', () => {
    const text = 'x'.repeat(MAXIMUM_FRAME_BYTES - 200);
    const long: Frame = {
      kind: 'notice',
      clock: {wallMs: 1, counter: 0},
      body: text,
    };
    const bytes = encodeFrame(long);
    const chunks: Buffer[] = [];
    for (let start = 0; start < bytes.length; start += CHUNK_BYTES) {
      chunks.push(bytes.subarray(start, start + CHUNK_BYTES));
    }
    expect(readFrames(chunks).frames.length).toEqual(1);
  });

  it('never lets a decoded body change the prototype of Object', () => {
    const encoder = new Encoder({useRecords: false});
    const body = new Map([['__proto__', {polluted: true}]]);
    const payload = encoder.encode({
      kind: 'notice',
      clock: {wallMs: 1, counter: 0},
      body,
    });
    readFrames([withPrefix(payload)]);
    expect(({} as {polluted?: boolean}).polluted).toEqual(undefined);
  });
});
