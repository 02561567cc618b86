import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {fencingTokenOf} from '../../src/index.js';

describe('fencingTokenOf', () => {
  it('rises with the revision within a generation', () => {
    expect(fencingTokenOf(1, 41) < fencingTokenOf(1, 42)).toEqual(true);
  });

  it('rises with the generation although the revision goes back', () => {
    fc.assert(
      fc.property(
        fc.nat({max: 1_000}),
        fc.nat({max: 2 ** 32 - 1}),
        fc.nat({max: 2 ** 32 - 1}),
        (generation, before, after) => {
          expect(
            fencingTokenOf(generation, before) <
              fencingTokenOf(generation + 1, after),
          ).toEqual(true);
        },
      ),
      {seed: 20_261_204, numRuns: 500},
    );
  });

  it('rises over revisions above 2^32 if a restore loses few of them', () => {
    const revision = 2 ** 32 + 500;
    expect(fencingTokenOf(3, revision) < fencingTokenOf(4, 2 ** 32)).toEqual(
      true,
    );
  });

  it('is the revision in generation 0', () => {
    expect(fencingTokenOf(0, 64)).toEqual(64);
  });

  describe('without a safe integer', () => {
    const REFUSED: ReadonlyArray<readonly [number, number]> = [
      [2 ** 21, 0],
      [2 ** 21 - 1, 2 ** 32],
      [1, 0.5],
      [Number.NaN, 1],
      [Infinity, 1],
    ];
    for (const [generation, revision] of REFUSED) {
      it(`throws for revision ${revision} of generation ${generation}`, () => {
        expect(() => fencingTokenOf(generation, revision)).toThrow(
          RangeError,
          'has no fencing token',
        );
      });
    }

    it('accepts the last one', () => {
      expect(fencingTokenOf(2 ** 21 - 1, 2 ** 32 - 1)).toEqual(
        Number.MAX_SAFE_INTEGER,
      );
    });
  });
});
