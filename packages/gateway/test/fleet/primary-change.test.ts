import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {FleetProxy} from '../support/memory-fleet.js';
import {MemoryFleet} from '../support/memory-fleet.js';
import {ObservedCallers} from '../support/observed-callers.js';

/** Proxies of each fleet. */
const PROXIES = 4;

/** How long a fault may take to be repaired in a test, in milliseconds. */
const REPAIR_TIMEOUT_MS = 20_000;

/** A fault of a fleet, and what must be so before it counts as repaired. */
interface FaultCase {
  readonly name: string;
  readonly strike: (fleet: MemoryFleet) => Promise<void> | void;
  readonly heal?: (fleet: MemoryFleet) => Promise<void> | void;
  /** Proxies at which writes must be acknowledged again. */
  readonly writersAfter: readonly string[];
}

const EVERY_PROXY = Array.from(
  {length: PROXIES},
  (_, index) => `proxy-${index}`,
);

/** Ends the lead of the first primary. */
function crashPrimary({group}: MemoryFleet): void {
  group.instances[0]!.isDown = true;
}

/** Cuts the primary off from its replicas and all proxies but the first. */
function isolatePrimary(fleet: MemoryFleet): void {
  const [primary, ...replicas] = fleet.group.instances;
  for (const {id} of replicas) fleet.group.partition(primary!.id, id);
  for (const {name} of fleet.proxies.slice(1)) {
    fleet.group.partition(name, primary!.id);
  }
}

/** A proxy that does not coordinate. */
function nonCoordinatorOf({proxies, store}: MemoryFleet): FleetProxy {
  const holder = store.items.get('sapphireglade/coordinator')?.value.toString();
  return proxies.find(({name}) => !holder?.startsWith(`${name}/`))!;
}

/** Removes the keys of a proxy although its lease goes on. */
function revokeKeys(fleet: MemoryFleet, name: string): void {
  for (const key of [...fleet.store.items.keys()]) {
    if (key.endsWith(`/${name}`)) fleet.store.remove(key);
  }
}

const CASES: readonly FaultCase[] = [
  {
    name: 'the primary crashes',
    strike: crashPrimary,
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary is isolated with one proxy on its side that has the store',
    strike: isolatePrimary,
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary is isolated with one proxy on its side that has lost the store',
    strike: fleet => {
      isolatePrimary(fleet);
      fleet.proxies[0]!.store.isPartitioned = true;
    },
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary crashes, its history in the store is dropped, and a live proxy loses its key',
    strike: async fleet => {
      revokeKeys(fleet, 'proxy-1');
      crashPrimary(fleet);
      await sleep(300);
      fleet.store.compact();
    },
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary crashes while the store is down for everybody',
    strike: async fleet => {
      for (const {store} of fleet.proxies) store.isPartitioned = true;
      await sleep(2_500);
      crashPrimary(fleet);
      await sleep(500);
    },
    heal: fleet => {
      for (const {store} of fleet.proxies) store.isPartitioned = false;
    },
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary leaves while a proxy has been without the store for long',
    strike: async fleet => {
      fleet.proxies[0]!.store.isPartitioned = true;
      await sleep(4_000);
      fleet.announceLeaving(fleet.group.instances[0]!.id);
      await sleep(3_000);
    },
    writersAfter: EVERY_PROXY,
  },
  {
    name: 'the primary is cut off from all but a proxy that has been without the store for long',
    strike: async fleet => {
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
    name: 'a second primary crashes right after the first, which is back',
    strike: async fleet => {
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
    name: 'a proxy hears late of a change that was not finished, and the old primary is back and behind',
    strike: async fleet => {
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
    heal: ({group}) => group.heal(),
    writersAfter: EVERY_PROXY,
  },
];

/** Waits until writes are acknowledged at proxies, all later than now. */
async function awaitWriters(
  callers: ObservedCallers,
  names: readonly string[],
): Promise<void> {
  const sinceMs = performance.now();
  const limitMs = sinceMs + REPAIR_TIMEOUT_MS;
  const isRepaired = (): boolean =>
    names.every(name => (callers.lastWriteMs.get(name) ?? 0) > sinceMs);
  while (!isRepaired()) {
    if (performance.now() > limitMs) throw new Error('It was not repaired.');
    await sleep(20);
  }
}

/** Plays one fault and returns what the observer saw. */
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
    await fault.strike(fleet);
    await fault.heal?.(fleet);
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
