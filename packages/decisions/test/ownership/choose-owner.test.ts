import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {OwnerOption} from '../../src/index.js';
import {chooseOwner} from '../../src/index.js';

const PLACE = {availabilityZone: 'a', region: 'east'};

function option(name: string, changes: Partial<OwnerOption> = {}): OwnerOption {
  return {
    name,
    availabilityZone: 'a',
    region: 'east',
    outstanding: 0,
    answerMs: 20,
    avoidUntilMs: 0,
    ...changes,
  };
}

/** Numbers from 0 to 1 that repeat with a fixed seed (Park and Miller, 1988). */
function seeded(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
}

describe('chooseOwner', () => {
  it('finds nothing among none', () => {
    expect(chooseOwner([], PLACE, 0, () => 0)).toEqual(undefined);
  });

  it('stays in its region while an owner there can be asked', () => {
    const options = [
      option('far', {region: 'west', availabilityZone: 'z', answerMs: 1}),
      option('near', {availabilityZone: 'b', answerMs: 200}),
    ];
    const random = seeded(3);
    for (let count = 0; count < 50; count += 1) {
      expect(chooseOwner(options, PLACE, 0, random)?.name).toEqual('near');
    }
  });

  it('asks an owner that failed last, and again once its time is over', () => {
    const options = [option('failed', {avoidUntilMs: 100}), option('other')];
    expect(chooseOwner(options, PLACE, 50, () => 0)?.name).toEqual('other');
    const alone = [options[0]!];
    expect(chooseOwner(alone, PLACE, 50, () => 0)?.name).toEqual('failed');
    const busy = [options[0]!, option('other', {outstanding: 9})];
    expect(chooseOwner(busy, PLACE, 150, () => 0)?.name).toEqual('failed');
  });

  it('does not herd: 200 entry proxies that see the same spread over the owners', () => {
    const options = ['p', 'q', 'r', 's'].map(name => option(name));
    const counts = new Map<string, number>();
    const random = seeded(7);
    for (let entry = 0; entry < 200; entry += 1) {
      const name = chooseOwner(options, PLACE, 0, random)!.name;
      counts.set(name, (counts.get(name) ?? 0) + 1);
    }
    for (const count of counts.values()) expect(count > 25).toEqual(true);
    expect(counts.size).toEqual(4);
  });

  it('prefers the less loaded of two, so that a slow owner drains', () => {
    const options = [option('slow', {outstanding: 20}), option('idle')];
    const random = seeded(5);
    for (let count = 0; count < 20; count += 1) {
      expect(chooseOwner(options, PLACE, 0, random)?.name).toEqual('idle');
    }
  });
});
