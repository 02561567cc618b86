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

/** Instances of a group, and the instances that store each acknowledged commit. */
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

/** Returns the position of the latest commit that an instance has received. */
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

describe('findCommitUpperBound', () => {
  it('includes every acknowledged commit whenever it is defined', () => {
    fc.assert(
      fc.property(histories, ({size, commits, answering}) => {
        const bound = findCommitUpperBound({
          received: answering.map(each => receivedBy(each, commits)),
          missing: size - answering.length,
          minimumPosition: undefined,
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

  it('would miss commits if it allowed one more missing instance', () => {
    const result = fc.check(
      fc.property(histories, ({size, commits, answering}) => {
        const received = answering.map(each => receivedBy(each, commits));
        const bound = findCommitUpperBound({
          received,
          missing: size - answering.length - 1,
          minimumPosition: undefined,
          hasSynchronousReplication: true,
        });
        return (
          bound === undefined ||
          commits.every(commit => comparePositions(commit.position, bound) <= 0)
        );
      }),
      {seed: SEED, numRuns: 5_000},
    );
    expect(result.failed).toEqual(true);
  });

  const undefinedCases = [
    {
      name: 'two instances are missing',
      missing: 2,
      hasSynchronousReplication: true,
    },
    {
      name: 'commits do not wait for a replica',
      missing: 0,
      hasSynchronousReplication: false,
    },
  ];
  for (const {name, missing, hasSynchronousReplication} of undefinedCases) {
    it(`is undefined if ${name}`, () => {
      const received = [{term: 1, position: 7}];
      expect(
        findCommitUpperBound({
          received,
          missing,
          minimumPosition: undefined,
          hasSynchronousReplication,
        }),
      ).toEqual(undefined);
    });
  }

  describe('if commits are known whose other copies may be gone', () => {
    const received = [
      {term: 1, position: 7},
      {term: 1, position: 5},
    ];

    /** Returns the bound if such commits go up to a position. */
    function boundWith(minimumPosition: LogPosition): LogPosition | undefined {
      const hasSynchronousReplication = true;
      const inputs = {received, missing: 1, minimumPosition};
      return findCommitUpperBound({...inputs, hasSynchronousReplication});
    }

    it('is undefined if no answer includes them', () => {
      expect(boundWith({term: 1, position: 8})).toEqual(undefined);
    });

    it('is the highest position if that includes them', () => {
      expect(boundWith({term: 1, position: 7})).toEqual(received[0]);
    });
  });
});
