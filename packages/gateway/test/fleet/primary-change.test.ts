import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {FleetProxy} from '../support/memory-fleet.js';
import {MemoryFleet} from '../support/memory-fleet.js';
import {ObservedCallers} from '../support/observed-callers.js';

/** Number of proxies of each fleet. */
const PROXIES = 4;

/** Maximum time to recover from a fault, in milliseconds. */
const RECOVERY_TIMEOUT_MS = 20_000;

/** A fault in a fleet, and the proxies that must recover from it. */
interface FaultCase {
  readonly name: string;
  readonly inject: (fleet: MemoryFleet) => Promise<void> | void;
  readonly revert?: (fleet: MemoryFleet) => Promise<void> | void;
  /** Names of the proxies at which writes must be acknowledged again. */
  readonly writersAfter: readonly string[];
}

const EVERY_PROXY = Array.from(
  {length: PROXIES},
  (_, index) => `proxy-${index}`,
);

/** Crashes the first primary. */
function crashPrimary({group}: MemoryFleet): void {
  group.instances[0]!.isDown = true;
}

/**
 * Partitions the primary from its replicas and from all proxies but the first.
 */
function isolatePrimary(fleet: MemoryFleet): void {
  const [primary, ...replicas] = fleet.group.instances;
  for (const {id} of replicas) fleet.group.partition(primary!.id, id);
  for (const {name} of fleet.proxies.slice(1)) {
    fleet.group.partition(name, primary!.id);
  }
}

/** Returns a proxy that is not the coordinator. */
function nonCoordinatorOf({proxies, store}: MemoryFleet): FleetProxy {
  const key = `sapphireglade/coordinator/${store.generation}`;
  const holder = store.items.get(key)?.value.toString();
  return proxies.find(({name}) => !holder?.startsWith(`${name}/`))!;
}

/** Removes the keys of a proxy without revoking its lease. */
function revokeKeys(fleet: MemoryFleet, name: string): void {
  for (const key of [...fleet.store.items.keys()]) {
    if (key.endsWith(`/${name}`)) fleet.store.remove(key);
  }
}

const CASES: readonly FaultCase[] = [
  {
    name: 'the primary crashes',
    inject: crashPrimary,
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary is isolated together with one proxy that can reach the store',
    inject: isolatePrimary,
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary is isolated together with one proxy that cannot reach the store',
    inject: fleet => {
      isolatePrimary(fleet);
      fleet.proxies[0]!.store.isPartitioned = true;
    },
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary crashes, the store compacts its history, and a live proxy loses its keys',
    inject: async fleet => {
      revokeKeys(fleet, 'proxy-1');
      crashPrimary(fleet);
      await sleep(300);
      fleet.store.compact();
    },
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary crashes while no proxy can reach the store',
    inject: async fleet => {
      for (const {store} of fleet.proxies) store.isPartitioned = true;
      await sleep(2_500);
      crashPrimary(fleet);
      await sleep(500);
    },
    revert: fleet => {
      for (const {store} of fleet.proxies) store.isPartitioned = false;
    },
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary leaves after a proxy was without the store for a long time',
    inject: async fleet => {
      fleet.proxies[0]!.store.isPartitioned = true;
      await sleep(4_000);
      fleet.announceLeaving(fleet.group.instances[0]!.id);
      await sleep(3_000);
    },
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary is cut off from all proxies but one that was without the store for a long time',
    inject: async fleet => {
      fleet.proxies[0]!.store.isPartitioned = true;
      await sleep(4_000);
      for (const {name} of fleet.proxies.slice(1)) {
        fleet.group.partition(name, fleet.group.instances[0]!.id);
      }
      await sleep(3_000);
    },
    writersAfter: EVERY_PROXY.slice(1),
  },
  {
    name: 'the second primary crashes right after the first, which has restarted',
    inject: async fleet => {
      const [first] = fleet.group.instances;
      crashPrimary(fleet);
      await sleep(4_000);
      first!.isDown = false;
      first!.isPrimary = false;
      const next = fleet.group.instances.find(
        ({isPrimary, isDown}) => isPrimary && !isDown,
      );
      if (next !== undefined) next.isDown = true;
    },
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'a proxy receives an unfinished change late, and the old primary restarts with an incomplete log',
    inject: async fleet => {
      const [old, ...replicas] = fleet.group.instances;
      const late = nonCoordinatorOf(fleet);
      late.store.isPartitioned = true;
      for (const {id} of replicas) {
        fleet.group.partition(late.name, id);
        fleet.group.partition(old!.id, id);
      }
      crashPrimary(fleet);
      while (fleet.group.tokens.length === 0) await sleep(5);
      for (const {store} of fleet.proxies) store.isPartitioned = true;
      await sleep(2_000);
      old!.isPrimary = false;
      old!.isDown = false;
      await sleep(2_500);
      for (const {id} of replicas) fleet.group.reconnect(late.name, id);
      late.store.isPartitioned = false;
      await sleep(3_000);
      for (const {store} of fleet.proxies) store.isPartitioned = false;
    },
    revert: ({group}) => group.healPartitions(),
    writersAfter: EVERY_PROXY,
  },
];

/**
 * Waits until each of the proxies has acknowledged a write sent from now on.
 */
async function awaitWriters(
  callers: ObservedCallers,
  names: readonly string[],
): Promise<void> {
  const sinceMs = performance.now();
  const deadlineMs = sinceMs + RECOVERY_TIMEOUT_MS;
  const isRecovered = (): boolean =>
    names.every(name => (callers.lastWriteMs.get(name) ?? 0) > sinceMs);
  while (!isRecovered()) {
    if (performance.now() > deadlineMs)
      throw new Error('The proxies did not acknowledge writes in time.');
    await sleep(20);
  }
}

/** Runs one fault case and returns the recorded observations. */
async function runFaultCase(fault: FaultCase): Promise<{
  readonly callers: ObservedCallers;
  readonly fleet: MemoryFleet;
}> {
  const fleet = new MemoryFleet();
  const callers = new ObservedCallers(fleet);
  try {
    await fleet.start(PROXIES);
    callers.start();
    await awaitWriters(callers, EVERY_PROXY);
    await fault.inject(fleet);
    await fault.revert?.(fleet);
    await awaitWriters(callers, fault.writersAfter);
    await sleep(300);
  } finally {
    await callers.stop();
    await fleet.stop();
  }
  return {callers, fleet};
}

describe('a change of primary in a fleet of gateways', {concurrency: 3}, () => {
  for (const fault of CASES) {
    it(`keeps every promise when ${fault.name}`, async () => {
      const {callers, fleet} = await runFaultCase(fault);
      const {group} = fleet;
      expect(callers.staleReads).toEqual([]);
      expect(group.lost).toEqual([]);
      const leader = group.instances.find(
        ({isPrimary, isDown, term}) =>
          isPrimary &&
          !isDown &&
          term === Math.max(...group.instances.map(each => each.term)),
      );
      const kept = leader?.log.flatMap(({requestId}) => requestId.split('+'));
      const rows = new Set(kept);
      expect(callers.told.filter(each => !rows.has(each))).toEqual([]);
      expect(callers.promisedNotRun.filter(each => rows.has(each))).toEqual([]);
      expect(kept?.length).toEqual(rows.size);
      const ascending = [...group.tokens].sort((left, right) => left - right);
      expect(group.tokens).toEqual(ascending);
      expect(new Set(group.tokens).size).toEqual(group.tokens.length);
    });
  }
});
