import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {OwnerEndpoint} from '../../src/index.js';
import {chooseOwner} from '../../src/index.js';

const LOCATION = {availabilityZone: 'a', region: 'east'};

function endpoint(
  name: string,
  changes: Partial<OwnerEndpoint> = {},
): OwnerEndpoint {
  return {
    name,
    availabilityZone: 'a',
    region: 'east',
    outstandingRequests: 0,
    answerMs: 20,
    avoidUntilMs: 0,
    ...changes,
  };
}

/**
 * Returns a generator of numbers from 0 to 1 that repeat for the same seed (Park
 * and Miller, 1988).
 */
function seededRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

describe('chooseOwner', () => {
  it('returns undefined without owners', () => {
    expect(chooseOwner([], LOCATION, 0, () => 0)).toEqual(undefined);
  });

  it('stays in its region while an owner there is available', () => {
    const endpoints = [
      endpoint('far', {region: 'west', availabilityZone: 'z', answerMs: 1}),
      endpoint('near', {availabilityZone: 'b', answerMs: 200}),
    ];
    const random = seededRandom(3);
    for (let count = 0; count < 50; count += 1) {
      expect(chooseOwner(endpoints, LOCATION, 0, random)?.name).toEqual('near');
    }
  });

  it('tries a failed owner last until its avoidance time has passed', () => {
    const endpoints = [
      endpoint('failed', {avoidUntilMs: 100}),
      endpoint('other'),
    ];
    expect(chooseOwner(endpoints, LOCATION, 50, () => 0)?.name).toEqual(
      'other',
    );
    const alone = [endpoints[0]!];
    expect(chooseOwner(alone, LOCATION, 50, () => 0)?.name).toEqual('failed');
    const busy = [endpoints[0]!, endpoint('other', {outstandingRequests: 9})];
    expect(chooseOwner(busy, LOCATION, 150, () => 0)?.name).toEqual('failed');
  });

  it('spreads 200 entry proxies with the same state over the owners', () => {
    const endpoints = ['p', 'q', 'r', 's'].map(name => endpoint(name));
    const counts = new Map<string, number>();
    const random = seededRandom(7);
    for (let entry = 0; entry < 200; entry += 1) {
      const name = chooseOwner(endpoints, LOCATION, 0, random)!.name;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    for (const count of counts.values()) expect(count > 25).toEqual(true);
    expect(counts.size).toEqual(4);
  });

  it('prefers the less loaded of two, so that a slow owner can drain', () => {
    const endpoints = [
      endpoint('slow', {outstandingRequests: 20}),
      endpoint('idle'),
    ];
    const random = seededRandom(5);
    for (let count = 0; count < 20; count += 1) {
      expect(chooseOwner(endpoints, LOCATION, 0, random)?.name).toEqual('idle');
    }
  });
});
