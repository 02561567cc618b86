import {describe, it} from 'node:test';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'earl';
import {SessionValues} from '../../src/index.js';

/** Size of the part of each line that the session does not store, in bytes. */
const UNUSED_BYTES = 500_000;

const LINES = 100;

/** Largest growth of the heap that the stored entries explain, in bytes. */
const MAXIMUM_GROWTH_BYTES = 10_000_000;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

/** Returns a name and a text that are parts of one long line, as a reader of lines does. */
function partsOfLongLine(index: number): [name: string, text: string] {
  const line = Buffer.from(
    `${'x'.repeat(UNUSED_BYTES)} some-long-name-${String(index).padStart(4, '0')} some-long-text`,
  ).toString('latin1');
  const start = UNUSED_BYTES + 1;
  return [line.slice(start, start + 19), line.slice(start + 20)];
}

/** Returns by how much the heap grows while an operation fills a session. */
function growthOf(fill: (values: SessionValues) => void): number {
  const values = new SessionValues();
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  fill(values);
  collectGarbage();
  const growth = process.memoryUsage().heapUsed - before;
  // Keeps the session until the heap was measured.
  values.deallocate('none');
  return growth;
}

describe('SessionValues and the lines that its entries come from', () => {
  it('keeps only the names and values', () => {
    const growth = growthOf(values => {
      for (let index = 0; index < LINES; index += 1) {
        const [name, text] = partsOfLongLine(index);
        expect(values.set(name, text)).toEqual(true);
      }
    });
    expect(growth).toBeLessThan(MAXIMUM_GROWTH_BYTES);
  });

  it('keeps only the names and shapes of prepared statements', () => {
    const growth = growthOf(values => {
      for (let index = 0; index < LINES; index += 1) {
        const [name, shape] = partsOfLongLine(index);
        expect(values.prepare(name, {kind: 'read', shape})).toEqual(true);
      }
    });
    expect(growth).toBeLessThan(MAXIMUM_GROWTH_BYTES);
  });
});
