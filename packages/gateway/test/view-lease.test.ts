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
    await untilPublished();
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
    });
  }

  async function untilPublished(): Promise<void> {
    while (!task.isPublished) await sleep(5);
  }

  /** Starts another task, and gives a time at which it was not published. */
  async function publishedAnew(): Promise<ClockReading> {
    await task.stop(0);
    task = createTask();
    await task.start();
    const before = readClocks();
    await untilPublished();
    return before;
  }

  function publishedLease(): number {
    const value = state.items.get(KNOWN_PROXY_PREFIX + SELF)?.value;
    return Number(value?.toString());
  }

  it('publishes its lease for others to end', () => {
    expect(publishedLease()).toEqual(task.leaseId ?? 0);
    expect(recordsNeeded > 0).toEqual(true);
  });

  it('prolongs nothing before the records were read', async () => {
    await sleep(RENEWALS_MS);
    expect(renewed).toEqual([]);
  });

  it('prolongs nothing by a question that was sent before it was published', async () => {
    const {steadyMs, wallMs} = readClocks();
    task.onRecordsRead({steadyMs: steadyMs - 10_000, wallMs});
    await sleep(RENEWALS_MS);
    expect(renewed).toEqual([]);
  });

  it('counts this proxy as known only to changes that begin after it was published', async () => {
    const before = await publishedAnew();
    expect(task.wasPublishedBefore(before)).toEqual(false);
    expect(task.wasPublishedBefore(readClocks())).toEqual(true);
  });

  it('goes on to count it as known while it gets another lease', async () => {
    const first = publishedLease();
    state.revokeLease(first);
    while (publishedLease() === first) await sleep(5);
    expect(task.wasPublishedBefore(readClocks())).toEqual(true);
  });

  it('prolongs views from the time at which a renewal was sent', async () => {
    const readAt = readClocks();
    task.onRecordsRead(readAt);
    while (renewed.length === 0) await sleep(5);
    const {steadyMs} = readClocks();
    for (const sentAt of renewed) {
      expect(sentAt.steadyMs >= readAt.steadyMs).toEqual(true);
      expect(sentAt.steadyMs <= steadyMs).toEqual(true);
    }
  });

  it('prolongs nothing by a new lease after the old one was ended', async () => {
    task.onRecordsRead(readClocks());
    const first = publishedLease();
    state.revokeLease(first);
    while (publishedLease() === first) await sleep(5);
    await untilPublished();
    const count = renewed.length;
    const neededBefore = recordsNeeded;
    while (recordsNeeded < neededBefore + 2) await sleep(5);
    expect(renewed.length).toEqual(count);
    task.onRecordsRead(readClocks());
    while (renewed.length === count) await sleep(5);
  });

  it('prolongs nothing while the store is away', async () => {
    task.onRecordsRead(readClocks());
    store.isPartitioned = true;
    // A renewal may have been answered just before.
    await sleep(50);
    const count = renewed.length;
    await sleep(RENEWALS_MS);
    expect(renewed.length).toEqual(count);
  });

  it('leaves no trace when it stops in good order', async () => {
    const lease = publishedLease();
    await task.stop(0);
    expect(state.items.has(KNOWN_PROXY_PREFIX + SELF)).toEqual(false);
    expect(state.leases.has(lease)).toEqual(false);
  });
});
