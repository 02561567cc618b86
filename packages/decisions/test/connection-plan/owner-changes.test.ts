import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ConnectionHolderTracker, OwnerShares} from '../../src/index.js';

/** Connections of an instance that owners may hold in the fleet of nine proxies. */
const USABLE = 7;

/** Longer than a proxy keeps its share after it was last listed, in milliseconds. */
const SETTLED_MS = 10_000;

/** Availability zones, which are the first letters of the names in them. */
const ZONES = ['a', 'b', 'c'];

const INSTANCES = ZONES.map(zone => `db-${zone}`);

/** The divisions of one instance's limit by the proxies of a fleet, which have the same list of owners. */
class InstanceShares {
  private readonly proxies = new Map<string, OwnerShares>();
  private owners: readonly string[] = [];
  private nowMs = 0;

  constructor(
    private readonly instance: string,
    private readonly limit: number,
    proxies: readonly string[],
  ) {
    for (const name of proxies) this.proxies.set(name, new OwnerShares(name));
  }

  /** Lets time pass in which the owners stay the same. */
  pass(owners: readonly string[], milliseconds: number): void {
    this.owners = owners;
    this.divide();
    this.nowMs += milliseconds;
    this.divide();
  }

  /** Returns how many connections each owner may hold. */
  divide(): ReadonlyMap<string, number> {
    const shares = new Map<string, number>();
    const owners = this.owners.map(name => ({name, availabilityZone: name[0]}));
    const instance = {
      id: this.instance,
      availabilityZone: this.instance.at(-1)!,
      limit: this.limit,
    };
    for (const [name, proxy] of this.proxies) {
      proxy.update(owners, this.nowMs);
      if (!this.owners.includes(name)) continue;
      shares.set(name, proxy.shareOf(instance, this.nowMs));
    }
    return shares;
  }
}

/**
 * Returns the connections to an instance after an owner was replaced while the
 * owners of before are busy, so that none has closed any.
 */
function connectionsAfterChange(
  instance: string,
  limit: number,
  before: readonly string[],
  after: readonly string[],
): number {
  const shares = new InstanceShares(instance, limit, [
    ...new Set([...before, ...after]),
  ]);
  shares.pass(before, SETTLED_MS);
  const held = new Map(shares.divide());
  shares.pass(after, 0);
  for (const [name, share] of shares.divide())
    held.set(name, Math.max(share, held.get(name) ?? 0));
  return [...held.values()].reduce((sum, each) => sum + each, 0);
}

describe('the shares of owners that change', () => {
  it('leave room for a new owner beside busy ones', () => {
    const before = ZONES.map(zone => `${zone}0`);
    for (const instance of INSTANCES) {
      for (const zone of ZONES) {
        const after = before.map(name =>
          name.startsWith(zone) ? `${zone}1` : name,
        );
        const connections = connectionsAfterChange(
          instance,
          USABLE,
          before,
          after,
        );
        expect(connections <= USABLE).toEqual(true);
      }
    }
  });

  it('leave that room for any limit and any proxies', () => {
    const arbitrary = fc.record({
      limit: fc.integer({min: USABLE, max: 40}),
      before: fc.integer({min: 0, max: 500}),
      after: fc.integer({min: 501, max: 999}),
      instance: fc.constantFrom(...INSTANCES),
    });
    fc.assert(
      fc.property(arbitrary, ({limit, before, after, instance}) => {
        const owners = ZONES.map(zone => `${zone}${before}`);
        const changed = [`a${after}`, ...owners.slice(1)];
        const connections = connectionsAfterChange(
          instance,
          limit,
          owners,
          changed,
        );
        expect(connections <= limit).toEqual(true);
      }),
      {seed: 16, numRuns: 2_000},
    );
  });

  it('are those of owners of long standing once the former owner has closed its connections', () => {
    const after = ['a1', 'b0', 'c0'];
    for (const instance of INSTANCES) {
      const changed = new InstanceShares(instance, USABLE, ['a0', ...after]);
      changed.pass(['a0', 'b0', 'c0'], SETTLED_MS);
      changed.pass(after, SETTLED_MS);
      const unchanged = new InstanceShares(instance, USABLE, after);
      unchanged.pass(after, SETTLED_MS);
      expect([...changed.divide()]).toEqual([...unchanged.divide()]);
    }
  });
});

describe('ConnectionHolderTracker', () => {
  // Guards against a stopping owner that loses a part of its share at once.
  it('does not take an owner that is no longer listed for a new one', () => {
    const tracker = new ConnectionHolderTracker();
    tracker.update(['a0', 'b0'], 0);
    tracker.update(['a0', 'b0'], SETTLED_MS);
    expect(tracker.isNew('a0', SETTLED_MS)).toEqual(false);
    tracker.update(['b0'], SETTLED_MS + 1_000);
    expect(tracker.isNew('a0', SETTLED_MS + 1_000)).toEqual(false);
  });

  it('takes an owner for a new one that comes back after its share has ended', () => {
    const tracker = new ConnectionHolderTracker();
    tracker.update(['a0', 'b0'], 0);
    tracker.update(['b0'], SETTLED_MS);
    tracker.update(['a0', 'b0'], 2 * SETTLED_MS);
    expect(tracker.isNew('a0', 2 * SETTLED_MS)).toEqual(true);
  });
});
