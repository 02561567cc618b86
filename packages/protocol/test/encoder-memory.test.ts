import {describe, it} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'earl';
import {encodeFrame, encodePayload} from '../src/index.js';

const CLOCK = {wallMs: 1, counter: 0};

/** Sizes of a session of the largest size, and of a large result, in bytes. */
const MESSAGE_BYTES = [4_194_304, 30_000_000];

/**
 * Returns the bytes of buffers that are in use.
 *
 * V8 frees the buffers that a collection found in another thread; the next collection
 * waits for it.
 */
function usedBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  return process.memoryUsage().arrayBuffers;
}

describe('the encoder of frames', () => {
  for (const bytes of MESSAGE_BYTES) {
    it(`holds no more than its size after a message of ${bytes} bytes`, () => {
      const before = usedBytes();
      const body = {text: 'x'.repeat(bytes)};
      const {length} = encodePayload({kind: 'notice', clock: CLOCK, body});
      encodeFrame({kind: 'ping', clock: CLOCK});
      expect(usedBytes() - before <= length).toEqual(true);
    });
  }
});
