import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {OwnerCandidate, OwnerPlanInputs} from '../../src/index.js';
import {vmCapacity, planOwners} from '../../src/index.js';

const REGIONS: Readonly<Record<string, string>> = {
  a: 'east',
  b: 'east',
  c: 'west',
  d: 'west',
};

/** Returns proxies spread over the zones, one in ten on a large VM. */
function fleetOf(size: number, zones = ['a', 'b', 'c', 'd']): OwnerCandidate[] {
  return Array.from({length: size}, (_, index) => {
    const availabilityZone = zones[index % zones.length]!;
    return {
      name: `proxy-${index}`,
      availabilityZone,
      region: REGIONS[availabilityZone]!,
      capacity: Math.floor(index / zones.length) % 10 === 0 ? 2 : 0.2,
    };
  });
}

function requestOf(
  candidates: readonly OwnerCandidate[],
  changes: Partial<OwnerPlanInputs> = {},
): OwnerPlanInputs {
  return {
    group: 'ledger-1',
    zones: ['a', 'b', 'c'],
    connectionLimit: 41,
    countGroupsIn: () => 40,
    candidates,
    regionOf: zone => REGIONS[zone]!,
    ...changes,
  };
}

describe('planOwners', () => {
  describe('with many proxies and few connections', () => {
    for (const size of [8, 65, 195, 640]) {
      it(`gives a group few owners among ${size} proxies, two in each zone`, () => {
        const fleet = fleetOf(size);
        const owners = planOwners(requestOf(fleet));
        const zones = owners.map(
          name =>
            fleet.find(each => each.name === name)?.availabilityZone ?? '',
        );
        expect(zones.sort()).toEqual(['a', 'a', 'b', 'b', 'c', 'c']);
      });
    }

    it('chooses one owner per zone if two would get too few connections each', () => {
      const owners = planOwners(requestOf(fleetOf(65), {connectionLimit: 9}));
      expect(owners.length).toEqual(3);
    });

    it('gives the few groups of a zone the same owners', () => {
      const fleet = fleetOf(80);
      const groups = Array.from({length: 6}, (_, index) => `group-${index}`);
      const owners = groups.flatMap(group =>
        planOwners(requestOf(fleet, {group, countGroupsIn: () => 3})),
      );
      expect(new Set(owners).size).toEqual(6);
    });

    it('spreads the groups of a large deployment evenly over all proxies', () => {
      const fleet = fleetOf(64).map(each => ({...each, capacity: 1}));
      const counts = new Map(fleet.map(({name}) => [name, 0]));
      for (let index = 0; index < 1_100; index += 1) {
        const owners = planOwners(
          requestOf(fleet, {
            group: `group-${index}`,
            zones: ['a', 'b', 'c', 'd'],
            countGroupsIn: () => 1_100,
          }),
        );
        for (const name of owners) counts.set(name, counts.get(name)! + 1);
      }
      const mean = (1_100 * 8) / 64;
      expect(Math.max(...counts.values()) < 2 * mean).toEqual(true);
      expect(Math.min(...counts.values()) > mean / 2).toEqual(true);
    });

    it('puts most groups on large VMs', () => {
      const fleet = fleetOf(80);
      const groups = Array.from({length: 50}, (_, index) => `group-${index}`);
      const owners = groups.flatMap(group =>
        planOwners(requestOf(fleet, {group})),
      );
      const large = new Set(
        fleet.filter(({capacity}) => capacity > 1).map(({name}) => name),
      );
      const onLarge = owners.filter(name => large.has(name)).length;
      expect(onLarge / owners.length > 0.8).toEqual(true);
    });
  });

  describe('when proxies join and leave', () => {
    it('makes the same plan for any order of the members', () => {
      fc.assert(
        fc.property(
          fc.shuffledSubarray(fleetOf(40), {minLength: 40, maxLength: 40}),
          shuffled => {
            const plan = planOwners(requestOf(shuffled));
            expect(plan).toEqual(planOwners(requestOf(fleetOf(40))));
          },
        ),
        {seed: 11, numRuns: 50},
      );
    });

    it('keeps the other owners when one proxy leaves', () => {
      const fleet = fleetOf(40);
      const before = planOwners(requestOf(fleet));
      for (const departed of before) {
        const remaining = fleet.filter(({name}) => name !== departed);
        const after = planOwners(requestOf(remaining));
        const kept = before.filter(name => after.includes(name));
        expect(kept.length).toEqual(before.length - 1);
      }
    });

    it('chooses owners in the region of a zone without proxies, else anywhere', () => {
      const fleet = fleetOf(40);
      const without = (zones: string[]): OwnerCandidate[] =>
        fleet.filter(each => !zones.includes(each.availabilityZone));
      const inRegion = planOwners(requestOf(without(['a']), {zones: ['a']}));
      expect(inRegion.every(name => zoneOf(fleet, name) === 'b')).toEqual(true);
      const anywhere = planOwners(
        requestOf(without(['a', 'b']), {zones: ['a']}),
      );
      expect(anywhere.length).toEqual(2);
      expect(planOwners(requestOf([]))).toEqual([]);
    });
  });
});

describe('vmCapacity', () => {
  const vm = {
    processorShare: 0.5,
    processorCores: 2,
    linkMbps: 200,
    memoryMb: 600,
  };

  it('grows in proportion when every resource grows', () => {
    expect(vmCapacity(vm)).toEqual(2);
  });

  it('is limited by the scarcest resource', () => {
    expect(vmCapacity({...vm, linkMbps: 10})).toEqual(0.1);
    expect(vmCapacity({...vm, processorCores: 1})).toEqual(1);
    expect(vmCapacity({...vm, memoryMb: 150})).toEqual(0.5);
  });
});

function zoneOf(fleet: readonly OwnerCandidate[], name: string): string {
  return fleet.find(each => each.name === name)?.availabilityZone ?? '';
}
