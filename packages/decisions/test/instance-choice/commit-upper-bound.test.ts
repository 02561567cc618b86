import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import type {LogPosition} from '../../src/index.js';
import {findCommitUpperBound, comparePositions} from '../../src/index.js';

/** Seed of the random histories. */
const SEED = 20_261_204;

const position = fc.record({
  term: fc.integer({min: 1, max: 4}),
  position: fc.integer({min: 1, max: 40}),
});

/** Instances of a group, and where each acknowledged commit lies. */
const histories = fc.integer({min: 2, max: 5}).chain(size =>
  fc.record({
    size: fc.constant(size),
    commits: fc.array(
      fc.record({
        position,
        holders: fc.uniqueArray(fc.nat(size - 1), {minLength: 2}),
      }),
      {maxLength: 12},
    ),
    answering: fc.uniqueArray(fc.nat(size - 1)),
  }),
);

/** What an instance has received: everything up to the newest commit there. */
function receivedBy(
  instance: number,
  commits: readonly {position: LogPosition; holders: number[]}[],
): LogPosition {
  return commits
    .filter(({holders}) => holders.includes(instance))
    .map(commit => commit.position)
    .reduce(
      (highest, each) => (comparePositions(each, highest) > 0 ? each : highest),
      {term: 0, position: 0},
    );
}

describe('commitBound', () => {
  it('holds every acknowledged commit whenever it is known', () => {
    fc.assert(
      fc.property(histories, ({size, commits, answering}) => {
        const bound = findCommitUpperBound({
          received: answering.map(each => receivedBy(each, commits)),
          missing: size - answering.length,
          hasSynchronousReplication: true,
        });
        if (bound === undefined) return;
        for (const commit of commits) {
          expect(comparePositions(commit.position, bound) <= 0).toEqual(true);
        }
      }),
      {seed: SEED, numRuns: 5_000},
    );
  });

  it('would miss commits if one more instance might be missing', () => {
    const missesSome = fc.check(
      fc.property(histories, ({size, commits, answering}) => {
        const received = answering.map(each => receivedBy(each, commits));
        const bound = findCommitUpperBound({
          received,
          missing: size - answering.length - 1,
          hasSynchronousReplication: true,
        });
        return (
          bound === undefined ||
          commits.every(commit => comparePositions(commit.position, bound) <= 0)
        );
      }),
      {seed: SEED, numRuns: 5_000},
    );
    expect(missesSome.failed).toEqual(true);
  });

  const unknown = [
    {name: 'two instances are missing', missing: 2, isReplicated: true},
    {name: 'commits wait for no replica', missing: 0, isReplicated: false},
  ];
  for (const {name, missing, isReplicated} of unknown) {
    it(`knows nothing if ${name}`, () => {
      const received = [{term: 1, position: 7}];
      expect(
        findCommitUpperBound({
          received,
          missing,
          hasSynchronousReplication: isReplicated,
        }),
      ).toEqual(undefined);
    });
  }
});
