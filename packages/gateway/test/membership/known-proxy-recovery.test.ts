import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  KNOWN_PROXY_PREFIX,
  KnownProxies,
  knownProxyValue,
  recoverKnownProxies,
  RESTORE_SETTLE_MS,
  StoreWatcher,
} from '../../src/index.js';
import {MemoryStore, MemoryStoreState} from '../support/memory-store.js';

/** Long enough for a watcher to receive a change, in milliseconds. */
const WATCH_MS = 100;

/** Number of proxies that the restored store has lost. */
const LOST_PROXIES = 18;

describe('proxies that a restore of the store has lost', () => {
  let state: MemoryStoreState;
  let knownProxies: KnownProxies;
  let watcher: StoreWatcher;

  beforeEach(async () => {
    state = new MemoryStoreState();
    const store = new MemoryStore(state);
    knownProxies = new KnownProxies(() => store.generation);
    watcher = new StoreWatcher({
      store,
      listeners: [knownProxies],
      watchedPrefix: KNOWN_PROXY_PREFIX,
      watchWaitMs: () => 500,
      minimumIntervalMs: () => 0,
      shouldPoll: () => false,
      isPaused: () => false,
      log: createSilentLogger(),
      onConfirmed: () => undefined,
    });
    recoverKnownProxies({
      store,
      knownProxies,
      isFollowing: () => true,
      isUpToDate: () => watcher.isComplete,
      log: createSilentLogger(),
    });
    await watcher.start();
  });

  afterEach(async () => {
    await watcher.stop(0);
    state.close();
  });

  it('are listed again, also if some of them return by themselves', async () => {
    const backup = state.backup();
    const names = Array.from({length: LOST_PROXIES}, (_, index) => `p${index}`);
    for (const name of names) publish(name, index(name));
    await sleep(WATCH_MS);
    state.restore(backup);
    await sleep(WATCH_MS);
    publish('p0', 100);
    await sleep(RESTORE_SETTLE_MS + LOST_PROXIES * WATCH_MS + 1_000);
    const listed = names.filter(name =>
      state.items.has(KNOWN_PROXY_PREFIX + name),
    );
    expect(listed).toEqual(names);
    expect([...knownProxies.names].sort()).toEqual([...names].sort());
    expect(knownProxies.leaseOf('p0')).toEqual(100);
    expect(knownProxies.leaseOf('p1')).toEqual(undefined);
  });

  function index(name: string): number {
    return Number(name.slice(1)) + 1;
  }

  function publish(name: string, lease: number): void {
    const value = knownProxyValue(state.generation, lease);
    state.put(KNOWN_PROXY_PREFIX + name, value);
  }
});
