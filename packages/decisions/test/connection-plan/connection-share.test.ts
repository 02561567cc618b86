import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {WeightedHolder} from '../../src/index.js';
import {
  connectionShare,
  ConnectionHolderTracker,
  assignHolderWeights,
} from '../../src/index.js';

const MEMBERS = fc
  .uniqueArray(fc.integer({min: 0, max: 200}), {minLength: 1, maxLength: 60})
  .map(numbers => numbers.map(number => `proxy-${number}`));

/** Returns holders of which every third has a weight of 3, the others of 1. */
function weighted(members: readonly string[]): WeightedHolder[] {
  return members.map((name, index) => ({name, weight: index % 3 ? 1 : 3}));
}

function equal(members: readonly string[]): WeightedHolder[] {
  return members.map(name => ({name, weight: 1}));
}

describe('connectionShare', () => {
  it('keeps the sum of all shares at the limit', () => {
    fc.assert(
      fc.property(
        MEMBERS,
        fc.integer({min: 60, max: 250}),
        (members, limit) => {
          const shares = members.map(self =>
            connectionShare('instance', limit, equal(members), self),
          );
          const sum = shares.reduce((total, share) => total + share, 0);
          expect(sum).toEqual(limit);
          expect(Math.max(...shares) - Math.min(...shares) <= 1).toEqual(true);
        },
      ),
      {seed: 5, numRuns: 300},
    );
  });

  it('keeps the sum at the limit for any weights', () => {
    fc.assert(
      fc.property(
        MEMBERS,
        fc.integer({min: 200, max: 250}),
        (members, limit) => {
          const shares = members.map(self =>
            connectionShare('instance', limit, weighted(members), self),
          );
          const sum = shares.reduce((total, share) => total + share, 0);
          expect(sum).toEqual(limit);
        },
      ),
      {seed: 6, numRuns: 300},
    );
  });

  it('gives more to a holder with a higher weight', () => {
    const holders = [
      {name: 'near', weight: 3},
      {name: 'far', weight: 1},
    ];
    expect(connectionShare('i', 40, holders, 'near')).toEqual(30);
    expect(connectionShare('i', 40, holders, 'far')).toEqual(10);
  });

  it('gives the same share for any order of the members', () => {
    const members = ['c', 'a', 'b', 'd'];
    const sorted = [...members].sort();
    expect(connectionShare('i', 22, equal(members), 'b')).toEqual(
      connectionShare('i', 22, equal(sorted), 'b'),
    );
  });

  it('counts a proxy that is not listed yet', () => {
    expect(connectionShare('i', 10, equal(['a']), 'b')).toEqual(5);
  });

  it('leaves one connection where there are more proxies than connections', () => {
    const members = Array.from({length: 30}, (_, index) => `proxy-${index}`);
    expect(connectionShare('i', 22, equal(members), 'proxy-7') >= 1).toEqual(
      true,
    );
  });
});

describe('assignHolderWeights', () => {
  const OWNERS = ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'];
  const isNear = (owner: string): boolean => owner.startsWith('a');
  const shareOf = (limit: number, owner: string): number =>
    connectionShare(
      'i',
      limit,
      assignHolderWeights(limit, OWNERS, isNear),
      owner,
    );

  it('gives owners near the instance more if the limit allows it', () => {
    expect(shareOf(60, 'a1') > 2 * shareOf(60, 'b1')).toEqual(true);
  });

  it('gives all owners the same if the others would get only one', () => {
    expect(shareOf(15, 'a1') >= 2).toEqual(true);
    expect(shareOf(15, 'b1') >= 2).toEqual(true);
  });

  it('leaves room for an owner that takes over from any other', () => {
    for (const limit of [8, 15, 21, 40, 60, 143, 215]) {
      const holders = assignHolderWeights(limit, OWNERS, isNear);
      const shares = OWNERS.map(owner =>
        connectionShare('i', limit, holders, owner),
      );
      const sum = shares.reduce((total, share) => total + share, 0);
      const isTight = limit < 2 * (OWNERS.length + 1);
      expect(isTight || sum + Math.max(...shares) <= limit + 1).toEqual(true);
    }
  });
});

describe('ConnectionHolderTracker', () => {
  it('assumes other proxies until the list is complete', () => {
    const holders = new ConnectionHolderTracker();
    expect(holders.update(['a'], 0).length).toEqual(20);
    expect(holders.update(['a', 'b'], 4_000).length).toEqual(20);
    expect(holders.update(['a', 'b'], 5_001)).toEqual(['a', 'b']);
  });

  it('divides among the earlier proxies while the list is incomplete', () => {
    const holders = new ConnectionHolderTracker();
    const earlier = ['a', 'b', 'c'];
    expect(holders.update(['a'], 0, earlier).length).toEqual(20);
    expect(holders.update(['a'], 3_001, earlier)).toEqual(['a', 'b', 'c']);
    expect(holders.update(['a', 'd'], 4_000, earlier)).toEqual([
      'a',
      'b',
      'c',
      'd',
    ]);
    expect(holders.update(['a', 'd'], 5_001, earlier)).toEqual(['a', 'd']);
  });

  it('keeps the share of a removed proxy while its connections may count', () => {
    const holders = new ConnectionHolderTracker();
    holders.update(['a', 'b'], 0);
    holders.update(['a', 'b'], 6_000);
    expect(holders.update(['a'], 9_000)).toEqual(['a', 'b']);
    expect(holders.update(['a'], 11_001)).toEqual(['a']);
  });
});
