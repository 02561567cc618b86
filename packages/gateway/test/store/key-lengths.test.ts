import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import fc from 'fast-check';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setImmediate as nextTurn} from 'node:timers/promises';
import type {PrimaryChangeContext} from '../../src/core/coordinator/primary-change-context.js';
import {writePrimaryRecord} from '../../src/core/coordinator/write-primary-record.js';
import {PrimaryReleases} from '../../src/core/primary-health/index.js';
import type {GroupRegistry, StoredItem} from '../../src/index.js';
import {DatabaseGroup, PrimaryRecords} from '../../src/index.js';
import {MemoryStore, MemoryStoreState} from '../support/memory-store.js';

const OPTIONS = {seed: 20_265, numRuns: 200};

/** Longest key that the store takes, in bytes. */
const MAXIMUM_KEY_BYTES = 200;

/** Longest name of a group whose record has the name in its key, in bytes. */
const LONGEST_PLAIN_NAME_BYTES = 178;

const RECORD = {term: 2, primary: 'i-1', phase: 'steady'} as const;

/** Generates names of groups around the limits of keys. */
const GROUP_NAME = fc
  .tuple(
    fc.constantFrom('x', 'a/', '%', '\u00e9', '\u{1f600}', '%2F'),
    fc.constantFrom(1, 20, 44, 60, 76, 88, 89, 100, 177, 178, 179, 200, 5_000),
    fc.constantFrom('', 'y', '/', '/y'),
  )
  .map(([part, times, end]) => part.repeat(times) + end);

/** Generates names of proxies of at most 100 bytes. */
const PROXY_NAME = fc
  .tuple(
    fc.constantFrom('x', '/', '%'),
    fc.constantFrom(1, 7, 50, 99),
    fc.constantFrom('', 'y', '/'),
  )
  .map(([part, times, end]) => part.repeat(times) + end);

/** Returns a group that has no record yet. */
function groupOf(name: string): DatabaseGroup {
  return new DatabaseGroup(name);
}

describe('the keys in the store', () => {
  let state: MemoryStoreState;
  let store: MemoryStore;

  beforeEach(() => {
    state = new MemoryStoreState();
    store = new MemoryStore(state);
  });

  afterEach(() => state.close());

  /** Writes the record of a group as the coordinator does. */
  async function writeRecord(name: string): Promise<void> {
    const revision = state.items.get('sapphireglade/coordinator/0')?.revision;
    if (revision === undefined) state.put('sapphireglade/coordinator/0', 'me');
    const {revision: current} = state.items.get('sapphireglade/coordinator/0')!;
    const context = {
      store: {generation: 0, transact: store.transact.bind(store)},
      coordinatorRevision: () => current,
      departures: {of: () => ({completeRecord: () => RECORD})},
    } as unknown as PrimaryChangeContext;
    await writePrimaryRecord(context, groupOf(name), RECORD);
  }

  /** Returns the records as another proxy reads them, by name of the group. */
  function readRecords(): Map<string, DatabaseGroup> {
    const groups = new Map<string, DatabaseGroup>();
    const registry = {
      getOrCreate: (name: string) => {
        const group = groups.get(name) ?? groupOf(name);
        groups.set(name, group);
        return group;
      },
    } as unknown as GroupRegistry;
    const log = createSilentLogger();
    const records = new PrimaryRecords(registry, () => 0, log);
    records.onSnapshot(itemsWith(records.prefix));
    return groups;
  }

  function itemsWith(prefix: string): StoredItem[] {
    return [...state.items.values()].filter(({key}) => key.startsWith(prefix));
  }

  /** Returns the longest key in the store, in bytes. */
  function longestKey(): number {
    const lengths = [...state.items.keys()].map(key => Buffer.byteLength(key));
    return Math.max(...lengths);
  }

  describe('of the record of a group', () => {
    it('is that of a name which fits as before', async () => {
      const name = 'x'.repeat(LONGEST_PLAIN_NAME_BYTES);
      await writeRecord(name);
      const [{key, value}] = itemsWith('sapphireglade/primary/') as [
        StoredItem,
      ];
      expect(key).toEqual(`sapphireglade/primary/${name}`);
      expect(JSON.parse(value.toString())).toEqual({...RECORD, generation: 0});
    });

    it('is taken and read by other proxies, whatever the names', async () => {
      await fc.assert(
        fc.asyncProperty(
          fc.uniqueArray(GROUP_NAME, {minLength: 1, maxLength: 4}),
          async names => {
            state.items.clear();
            for (const name of names) await writeRecord(name);
            const groups = readRecords();
            expect([...groups.keys()].sort()).toEqual([...names].sort());
            for (const {record} of groups.values())
              expect(record?.record.primary).toEqual(RECORD.primary);
            expect(longestKey() <= MAXIMUM_KEY_BYTES).toEqual(true);
          },
        ),
        {...OPTIONS, numRuns: 60},
      );
    });

    it('names no group if its content names another one', () => {
      const content = JSON.stringify({...RECORD, group: 'ledger'});
      state.put('sapphireglade/primary/orders', content);
      expect([...readRecords().keys()]).toEqual([]);
    });
  });

  describe('of a release', () => {
    const known = {
      record: {term: 2, primary: 'i-1', phase: 'changing'},
      revision: 7,
      generation: 0,
    } as const;

    function releasesOf(proxy: string): PrimaryReleases {
      const lease = state.grantLease(60_000);
      const log = createSilentLogger();
      return new PrimaryReleases(proxy, store, () => lease, log);
    }

    async function publish(group: string, proxy: string): Promise<void> {
      const followed = groupOf(group);
      releasesOf(proxy).follow(followed);
      const count = state.items.size;
      followed.applyRecord(known);
      for (let turn = 0; turn < 2_000 && state.items.size === count; turn += 1)
        await nextTurn();
    }

    it('is taken and read by the coordinator, whatever the names', async () => {
      await fc.assert(
        fc.asyncProperty(
          GROUP_NAME,
          GROUP_NAME,
          PROXY_NAME,
          PROXY_NAME,
          async (group, otherGroup, proxy, otherProxy) => {
            state.items.clear();
            await publish(group, proxy);
            const reader = releasesOf('reader');
            reader.onSnapshot(itemsWith(reader.prefix));
            expect(reader.hasReleased(group, proxy, known)).toEqual(true);
            const isOther = reader.hasReleased(otherGroup, otherProxy, known);
            const isSame = otherGroup === group && otherProxy === proxy;
            expect(isOther).toEqual(isSame);
            expect(longestKey() <= MAXIMUM_KEY_BYTES).toEqual(true);
          },
        ),
        OPTIONS,
      );
    });
  });
});
