import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  assignHolderWeights,
  connectionShare,
  OwnerShares,
} from '../../src/index.js';
import type {Absence, OwnerPlay} from './owner-play.js';
import {highestConnections} from './owner-play.js';

const ZONES = ['a', 'b', 'c'];

/** Connections of an instance for its owners, by the limits of the platform. */
const LIMITS = [7, 8, 15, 21, 42, 215];

/** Fewest connections with which a zone has two owners. */
const TWO_OWNERS_LIMIT = 14;

/** Longest delay after which a list reaches a proxy, in milliseconds. */
const MAXIMUM_DELAY_MS = 1_000;

/** Time in which owners change, in milliseconds. */
const CHANGES_MS = 6_000;

/** Time that is played, in milliseconds; all shares are whole again at its end. */
const DURATION_MS = 14_000;

/** Which owner is replaced by which proxy of its zone, and how long after the change before, in milliseconds. */
interface Change {
  readonly owner: number;
  readonly by: number;
  readonly afterMs: number;
}

/** Returns the lists of owners that follow from changes. */
function listsOf(
  limit: number,
  changes: readonly Change[],
): OwnerPlay['lists'] {
  const perZone = limit >= TWO_OWNERS_LIMIT ? 2 : 1;
  const proxies = ZONES.flatMap(zone => [0, 1, 2, 3].map(n => `${zone}${n}`));
  let owners = proxies.filter(name => Number(name[1]) < perZone);
  const lists = [{atMs: 0, owners}];
  let atMs = 0;
  for (const {owner, by, afterMs} of changes) {
    atMs += afterMs;
    if (atMs > CHANGES_MS) break;
    const leaving = owners[owner % owners.length]!;
    const free = proxies.filter(
      name => name[0] === leaving[0] && !owners.includes(name),
    );
    owners = owners.filter(name => name !== leaving);
    owners = [...owners, free[by % free.length]!].sort();
    lists.push({atMs, owners});
  }
  return lists;
}

const CHANGES = fc.array(
  fc.record({
    owner: fc.nat(5),
    by: fc.nat(3),
    afterMs: fc.integer({min: 100, max: 2_500}),
  }),
  {minLength: 2, maxLength: 12},
);

/** Changes of owners of which the proxies learn with different delays. */
const PLAY = fc
  .record({
    instance: fc.constantFrom(...ZONES.map(zone => `db-${zone}`)),
    limit: fc.constantFrom(...LIMITS),
    changes: CHANGES,
    delays: fc.array(fc.nat(MAXIMUM_DELAY_MS), {minLength: 31, maxLength: 31}),
  })
  .map(({instance, limit, changes, delays}): OwnerPlay => {
    const delayMs = (proxy: string, list: number): number =>
      delays[(proxy.charCodeAt(0) * 4 + Number(proxy[1]) * 7 + list * 3) % 31]!;
    const lists = listsOf(limit, changes);
    return {instance, limit, lists, delayMs, durationMs: DURATION_MS};
  });

/** Times in which a proxy does not run; most are first owners. */
function absences(maximumMs: number): fc.Arbitrary<readonly Absence[]> {
  return fc.array(
    fc
      .record({
        proxy: fc.constantFrom('a0', 'b0', 'c0', 'a1', 'b1', 'c1'),
        fromMs: fc.integer({min: 0, max: 4_000}),
        durationMs: fc.integer({min: 300, max: maximumMs}),
      })
      .map(({proxy, fromMs, durationMs}) => ({
        proxy,
        fromMs,
        toMs: fromMs + durationMs,
      })),
    {minLength: 1, maxLength: 2},
  );
}

/** Returns by how many connections a play exceeds the limit. */
function excessOf(play: OwnerPlay): number {
  return Math.max(0, highestConnections(play) - play.limit);
}

describe('owners that change several times in a row while former ones are busy', () => {
  const replace = (zone: string, by: number, owners: string[]): string[] =>
    owners.map(name => (name.startsWith(zone) ? `${zone}${by}` : name));

  for (const changes of [2, 3]) {
    it(`stay within the limit after ${changes} changes`, () => {
      for (const zone of ZONES) {
        for (const instance of ZONES.map(each => `db-${each}`)) {
          let owners = ['a0', 'b0', 'c0'];
          const lists = [{atMs: 0, owners}];
          for (let change = 1; change <= changes; change += 1) {
            owners = replace(zone, change, owners);
            lists.push({atMs: change * 1_000, owners});
          }
          const excess = excessOf({
            instance,
            limit: 7,
            lists,
            delayMs: () => 0,
            durationMs: DURATION_MS,
          });
          expect(excess).toEqual(0);
        }
      }
    });
  }

  it('stay within the limit whenever a list reaches a proxy', () => {
    fc.assert(
      fc.property(PLAY, play => {
        expect(excessOf(play)).toEqual(0);
      }),
      {seed: 50, numRuns: 100},
    );
  });

  it('stay within the limit while owners are frozen for less than their grants count', () => {
    fc.assert(
      fc.property(PLAY, absences(3_000), (play, frozen) => {
        expect(excessOf({...play, frozen})).toEqual(0);
      }),
      {seed: 51, numRuns: 100},
    );
  });

  it('pass the limit by one connection at most for each process that restarts', () => {
    fc.assert(
      fc.property(PLAY, absences(2_500), (play, restarted) => {
        expect(excessOf({...play, restarted}) <= restarted.length).toEqual(
          true,
        );
      }),
      {seed: 52, numRuns: 100},
    );
  });
});

describe('OwnerShares', () => {
  const listed = (names: readonly string[]) =>
    names.map(name => ({name, availabilityZone: name[0]}));

  it('has the division among owners of long standing once owners no longer change', () => {
    fc.assert(
      fc.property(PLAY, ({instance, limit, lists}) => {
        const [self] = lists.at(-1)!.owners;
        const shares = new OwnerShares(self!);
        shares.update(listed(lists[0]!.owners), -DURATION_MS);
        for (const {atMs, owners} of lists) shares.update(listed(owners), atMs);
        const {owners} = lists.at(-1)!;
        const endMs = lists.at(-1)!.atMs + 6_001;
        shares.update(listed(owners), endMs);
        const availabilityZone = instance.at(-1)!;
        const weights = assignHolderWeights(
          limit,
          owners,
          name => name[0] === availabilityZone,
        );
        const divided = {id: instance, availabilityZone, limit};
        expect(shares.shareOf(divided, endMs)).toEqual(
          connectionShare(instance, limit, weights, self!),
        );
      }),
      {seed: 53, numRuns: 200},
    );
  });

  // Guards against a former owner that counts with the weight of another zone.
  it('counts a former owner by the zone that it had', () => {
    const shares = new OwnerShares('a1');
    shares.update(listed(['a0', 'b0', 'c0']), 0);
    shares.update(listed(['a0', 'b0', 'c0']), DURATION_MS);
    shares.update(listed(['a1', 'b0', 'c0']), DURATION_MS + 1);
    const instance = {id: 'db-a', availabilityZone: 'a', limit: 42};
    // Parts of 3, 1 and 1 leave 15 for the spare one, of which half is granted.
    expect(shares.shareOf(instance, DURATION_MS + 1)).toEqual(7);
  });
});
