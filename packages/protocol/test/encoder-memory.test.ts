import {describe, it} from 'node:test';
import {expect} from 'earl';
import {encodePayload, FrameKind} from '../src/index.js';

function encodeNotification(body: string): Buffer {
  const clock = {wallMs: 0, counter: 0};
  return encodePayload({kind: FrameKind.Notification, clock, body});
}

describe('encodePayload', () => {
  it('keeps no buffer of the length of a long message', () => {
    const long = encodeNotification('x'.repeat(5_000_000));
    const short = encodeNotification('x');
    expect(long.length > 5_000_000).toEqual(true);
    expect(short.buffer.byteLength <= 65_536).toEqual(true);
  });

  it('leaves a long message as it was while others are encoded', () => {
    const long = encodeNotification('x'.repeat(200_000));
    const copy = Buffer.from(long);
    for (let count = 0; count < 100; count += 1) {
      encodeNotification('y'.repeat(count * 1_000));
    }
    expect(long.equals(copy)).toEqual(true);
  });
});
