import {describe, it} from 'node:test';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Frame, SegmentFrame} from '../src/index.js';
import {
  encodeFrame,
  encodePayload,
  FrameKind,
  FrameReader,
  MAXIMUM_MESSAGE_BYTES,
  MINIMUM_SEGMENT_BYTES,
  SEGMENT_BYTES,
  SegmentPosition,
} from '../src/index.js';

const OPTIONS = {seed: 20_262, numRuns: 100};

const PING: Frame = {kind: 'ping', clock: {wallMs: 7, counter: 1}};

/** Creates a notification with a text of some length. */
function notificationOf(textLength: number): Frame {
  const body = {text: 'é'.repeat(textLength)};
  return {kind: 'notice', clock: {wallMs: 1, counter: 2}, body};
}

/** Splits an encoded frame into segments. */
function segmentsOf(frame: Frame, segmentBytes: number): SegmentFrame[] {
  const payload = encodePayload(frame);
  const segments: SegmentFrame[] = [];
  for (let start = 0; start < payload.length; start += segmentBytes) {
    const end = Math.min(start + segmentBytes, payload.length);
    const isLast = end === payload.length;
    segments.push({
      kind: FrameKind.Segment,
      position: isLast ? SegmentPosition.Last : SegmentPosition.Inner,
      data: payload.subarray(start, end),
    });
  }
  return segments;
}

/** Splits bytes at the given offsets. */
function splitAt(bytes: Buffer, offsets: readonly number[]): Buffer[] {
  const ends = offsets.map(offset => offset % (bytes.length + 1));
  const sorted = [0, ...ends.sort((a, b) => a - b), bytes.length];
  return sorted
    .slice(1)
    .map((end, index) => bytes.subarray(sorted[index], end));
}

/** Reads frames, and the kind of the error that ends the stream. */
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

describe('FrameReader and segments', () => {
  it('joins messages wherever the bytes are split, and yields frames sent between segments', () => {
    fc.assert(
      fc.property(
        fc.array(fc.nat(20_000), {minLength: 1, maxLength: 3}),
        fc.integer({min: MINIMUM_SEGMENT_BYTES, max: 12_000}),
        fc.array(fc.nat(), {maxLength: 30}),
        (lengths, segmentBytes, offsets) => {
          const messages = lengths.map(notificationOf);
          const sent = messages.flatMap(message =>
            segmentsOf(message, segmentBytes).flatMap(segment => [
              encodeFrame(PING),
              encodeFrame(segment),
            ]),
          );
          const {frames, error} = readFrames(
            splitAt(Buffer.concat(sent), offsets),
          );
          expect(error).toEqual(undefined);
          expect(frames.filter(({kind}) => kind === 'notice')).toEqual(
            messages,
          );
          const pings = frames.filter(({kind}) => kind === 'ping');
          expect(pings.length).toEqual(sent.length / 2);
        },
      ),
      OPTIONS,
    );
  });

  it('discards the segments of a cancelled message', () => {
    const [first] = segmentsOf(notificationOf(5_000), MINIMUM_SEGMENT_BYTES);
    const cancelled: SegmentFrame = {
      kind: FrameKind.Segment,
      position: SegmentPosition.Cancelled,
      data: Buffer.alloc(0),
    };
    const whole = notificationOf(6_000);
    const sent = [first!, cancelled, ...segmentsOf(whole, 5_000)];
    expect(readFrames(sent.map(encodeFrame))).toEqual({
      frames: [whole],
      error: undefined,
    });
  });

  it('rejects a message as soon as its segments exceed the limit', () => {
    const inner = encodeFrame({
      kind: FrameKind.Segment,
      position: SegmentPosition.Inner,
      data: Buffer.alloc(SEGMENT_BYTES),
    });
    const reader = new FrameReader();
    const count = MAXIMUM_MESSAGE_BYTES / SEGMENT_BYTES;
    for (let index = 0; index < count; index += 1) {
      expect([...reader.push(inner)]).toEqual([]);
    }
    expect(() => [...reader.push(inner)]).toThrow(SapphiregladeError);
  });

  const malformed: Array<{name: string; frame: SegmentFrame}> = [
    {
      name: 'a short inner segment',
      frame: {kind: 'segment', position: 'inner', data: Buffer.alloc(10)},
    },
    {
      name: 'a segment that holds a segment',
      frame: {
        kind: 'segment',
        position: 'last',
        data: encodePayload({
          kind: 'segment',
          position: 'last',
          data: encodePayload(PING),
        }),
      },
    },
    {
      name: 'a message that is not CBOR',
      frame: {kind: 'segment', position: 'last', data: Buffer.from([0xff])},
    },
    {
      name: 'a segment without data',
      frame: {kind: 'segment', position: 'last'} as never,
    },
  ];
  for (const {name, frame} of malformed) {
    it(`rejects ${name}`, () => {
      const {frames, error} = readFrames([encodeFrame(frame)]);
      expect(frames).toEqual([]);
      expect(error).toEqual(ErrorKind.FrameMalformed);
    });
  }
});
