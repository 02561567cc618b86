import {describe, it} from 'node:test';
import {expect} from 'earl';
import {GenerationChange, StoreGenerations} from '../../src/index.js';

/** Returns what each generation said, and which one counts afterwards. */
function observeAll(
  generations: readonly number[],
): [GenerationChange[], number | undefined] {
  const store = new StoreGenerations();
  const changes = generations.map(each => store.observe(each));
  return [changes, store.current];
}

describe('StoreGenerations', () => {
  it('knows none before the first response', () => {
    expect(observeAll([])).toEqual([[], undefined]);
  });

  it('takes the first one as it is, also 0', () => {
    expect(observeAll([7])).toEqual([[GenerationChange.First], 7]);
    expect(observeAll([0, 0])).toEqual([
      [GenerationChange.First, GenerationChange.Unchanged],
      0,
    ]);
  });

  it('reports a restore once', () => {
    expect(observeAll([1, 2, 2])).toEqual([
      [
        GenerationChange.First,
        GenerationChange.Restored,
        GenerationChange.Unchanged,
      ],
      2,
    ]);
  });

  it('reports one restore where responses of a generation were missed', () => {
    expect(observeAll([1, 4])).toEqual([
      [GenerationChange.First, GenerationChange.Restored],
      4,
    ]);
  });

  it('never goes back on the word of an older response', () => {
    expect(observeAll([1, 3, 2, 1, 3])).toEqual([
      [
        GenerationChange.First,
        GenerationChange.Restored,
        GenerationChange.Outdated,
        GenerationChange.Outdated,
        GenerationChange.Unchanged,
      ],
      3,
    ]);
  });
});
