import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ClockReading} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import {KNOWN_PROXY_PREFIX, readClocks, ViewLeaseTask} from '../src/index.js';
import {MemoryStore, MemoryStoreState} from './support/memory-store.js';

/** Name of the proxy. */
const SELF = 'proxy-0';

/** Longer than two renewals take, in milliseconds. */
const RENEWALS_MS = 600;

describe('ViewLeaseTask', () => {
  let state: MemoryStoreState;
  let store: MemoryStore;
  let task: ViewLeaseTask;
  let renewed: ClockReading[];
  let recordsNeeded: number;

  beforeEach(async () => {
    state = new MemoryStoreState();
    store = new MemoryStore(state);
    renewed = [];
    recordsNeeded = 0;
    task = createTask();
    await task.start();
    await awaitPublication();
  });

  afterEach(async () => {
    store.isPartitioned = false;
    await task.stop(0);
    state.close();
  });

  function createTask(): ViewLeaseTask {
    return new ViewLeaseTask({
      name: SELF,
      store,
      keyRevision: () =>
        state.items.get(KNOWN_PROXY_PREFIX + SELF)?.revision ?? 0,
      proxyCount: () => 9,
      log: createSilentLogger(),
      onRenewed: sentAt => renewed.push(sentAt),
      onRecordsNeeded: () => {
        recordsNeeded += 1;
      },
      onDropped: () => undefined,
    });
  }

  async function awaitPublication(): Promise<void> {
    while (!task.isPublished) await sleep(5);
  }

  /** Starts another task, and returns a time at which it was not published. */
  async function republish(): Promise<ClockReading> {
    await task.stop(0);
    task = createTask();
    await task.start();
    const before = readClocks();
    await awaitPublication();
    return before;
  }

  function publishedLease(): number {
    const value = state.items.get(KNOWN_PROXY_PREFIX + SELF)?.value;
    return Number(value?.toString().split('/').at(-1));
  }

  it('publishes its lease, so that other proxies can revoke it', () => {
    expect(publishedLease()).toEqual(task.leaseId ?? 0);
    expect(recordsNeeded > 0).toEqual(true);
  });

  it('extends no view before the records were read', async () => {
    await sleep(RENEWALS_MS);
    expect(renewed).toEqual([]);
  });

  it('extends no view after a read that was sent before the publication', async () => {
    const {steadyMs, wallMs} = readClocks();
    task.onRecordsRead({steadyMs: steadyMs - 10_000, wallMs});
    await sleep(RENEWALS_MS);
    expect(renewed).toEqual([]);
  });

  it('counts this proxy as published only for changes that begin after the publication', async () => {
    const before = await republish();
    expect(task.wasPublishedBefore(before)).toEqual(false);
    expect(task.wasPublishedBefore(readClocks())).toEqual(true);
  });

  it('still counts it as published while it requests another lease', async () => {
    const first = publishedLease();
    state.revokeLease(first);
    while (publishedLease() === first) await sleep(5);
    expect(task.wasPublishedBefore(readClocks())).toEqual(true);
  });

  it('extends views from the time at which a renewal was sent', async () => {
    const readAt = readClocks();
    task.onRecordsRead(readAt);
    while (renewed.length === 0) await sleep(5);
    const {steadyMs} = readClocks();
    for (const sentAt of renewed) {
      expect(sentAt.steadyMs >= readAt.steadyMs).toEqual(true);
      expect(sentAt.steadyMs <= steadyMs).toEqual(true);
    }
  });

  it('extends no view by a new lease after the old one was revoked', async () => {
    task.onRecordsRead(readClocks());
    const first = publishedLease();
    state.revokeLease(first);
    while (publishedLease() === first) await sleep(5);
    await awaitPublication();
    const count = renewed.length;
    const neededBefore = recordsNeeded;
    while (recordsNeeded < neededBefore + 2) await sleep(5);
    expect(renewed.length).toEqual(count);
    task.onRecordsRead(readClocks());
    while (renewed.length === count) await sleep(5);
  });

  it('extends no view while the store is unavailable', async () => {
    task.onRecordsRead(readClocks());
    store.isPartitioned = true;
    // The response to a renewal may have arrived just before.
    await sleep(50);
    const count = renewed.length;
    await sleep(RENEWALS_MS);
    expect(renewed.length).toEqual(count);
  });

  it('removes its key and lease when it stops gracefully', async () => {
    const lease = publishedLease();
    await task.stop(0);
    expect(state.items.has(KNOWN_PROXY_PREFIX + SELF)).toEqual(false);
    expect(state.leases.has(lease)).toEqual(false);
  });
});
