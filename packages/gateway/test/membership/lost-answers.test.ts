import type {ClockReading} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  KNOWN_PROXY_PREFIX,
  readClocks,
  ViewLeaseTask,
} from '../../src/index.js';
import {MemoryStore, MemoryStoreState} from '../support/memory-store.js';

const SELF = 'proxy-0';

/** Time within which a dead primary must be replaced, in milliseconds. */
const REPLACED_WITHIN_MS = 8_000;

/** Long enough for a lease without renewals to expire twice, in milliseconds. */
const LEASES_MS = 3_000;

/** Long enough for a request for a lease to arrive at the store, in milliseconds. */
const REQUESTED_MS = 100;

/** Longer than any answer may be missing before the lease is dropped, in milliseconds. */
const SLOW_MS = 5_000;

/** One-way latency of a store whose answers are just not given up, in milliseconds. */
const SLOW_ONE_WAY_LATENCY_MS = 700;

describe('ViewLeaseTask', () => {
  let state: MemoryStoreState;
  let store: MemoryStore;
  let task: ViewLeaseTask;
  let renewed: ClockReading[];
  /** Leases of the store when the task dropped its own. */
  let dropped: number[];

  beforeEach(async () => {
    state = new MemoryStoreState();
    store = new MemoryStore(state);
    renewed = [];
    dropped = [];
    task = new ViewLeaseTask({
      name: SELF,
      store,
      keyRevision: () =>
        state.items.get(KNOWN_PROXY_PREFIX + SELF)?.revision ?? 0,
      proxyCount: () => 9,
      log: createSilentLogger(),
      onRenewed: sentAt => renewed.push(sentAt),
      onRecordsNeeded: () => task.onRecordsRead(readClocks()),
      onDropped: () => dropped.push(...state.leases.keys()),
    });
    await task.start();
    await waitUntil(() => renewed.length > 0);
  });

  afterEach(async () => {
    store.losesAnswers = false;
    store.oneWayLatencyMs = 1;
    await task.stop(0);
    state.close();
  });

  /** Waits for a condition, up to a time limit. */
  async function waitUntil(condition: () => boolean): Promise<void> {
    const deadlineMs = performance.now() + REPLACED_WITHIN_MS;
    while (!condition() && performance.now() < deadlineMs) await sleep(5);
  }

  describe('with a store that executes its calls, but does not answer', () => {
    // Guards against a coordinator key that lives on although its holder hears nothing.
    it('lets its lease expire', async () => {
      const lease = task.leaseId!;
      store.losesAnswers = true;
      await waitUntil(() => !state.leases.has(lease));
      expect(state.leases.has(lease)).toEqual(false);
    });

    it('tells that it dropped the lease while that is still alive', async () => {
      const lease = task.leaseId!;
      store.losesAnswers = true;
      await waitUntil(() => dropped.length > 0);
      expect(dropped).toEqual([lease]);
    });

    it('has no lease to which a key could be attached once it dropped the old one', async () => {
      const lease = task.leaseId!;
      store.losesAnswers = true;
      await waitUntil(() => !state.leases.has(lease));
      expect(task.leaseId).toEqual(undefined);
    });

    it('does not drop the lease that it obtains when the answers are back', async () => {
      const lease = task.leaseId!;
      store.losesAnswers = true;
      await waitUntil(() => task.leaseId !== lease);
      store.losesAnswers = false;
      await waitUntil(() => task.isPublished);
      const next = task.leaseId;
      expect(next === undefined || next === lease).toEqual(false);
      const endsAtMs = performance.now() + LEASES_MS;
      while (performance.now() < endsAtMs) {
        // The store ends the lease by itself if this process stands still.
        const isDropped = task.leaseId !== next && state.leases.has(next!);
        expect(isDropped).toEqual(false);
        await sleep(5);
      }
    });

    it('obtains a lease once the answers are back, before it gives up the calls without one', async () => {
      let givenUp = 0;
      const grantLease = store.grantLease.bind(store);
      store.grantLease = ttlMs => {
        const grant = grantLease(ttlMs);
        grant.catch(() => (givenUp += 1));
        return grant;
      };
      const lease = task.leaseId!;
      store.losesAnswers = true;
      await waitUntil(() => task.leaseId !== lease);
      await sleep(REQUESTED_MS);
      store.losesAnswers = false;
      await waitUntil(() => task.isPublished);
      expect(task.isPublished).toEqual(true);
      expect(givenUp).toEqual(0);
    });

    it('extends views again once the answers are back', async () => {
      const lease = task.leaseId!;
      store.losesAnswers = true;
      await waitUntil(() => !state.leases.has(lease));
      store.losesAnswers = false;
      const count = renewed.length;
      await waitUntil(() => renewed.length > count);
      expect(renewed.length > count).toEqual(true);
    });
  });

  describe('with a store that answers late, but in order', () => {
    it('keeps its lease', async () => {
      const lease = task.leaseId!;
      store.oneWayLatencyMs = SLOW_ONE_WAY_LATENCY_MS;
      await sleep(SLOW_MS);
      expect(task.leaseId).toEqual(lease);
      expect(state.leases.has(lease)).toEqual(true);
    });
  });
});
