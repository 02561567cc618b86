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
import {LateStore} from '../support/late-store.js';
import {MemoryStoreState} from '../support/memory-store.js';

const SELF = 'proxy-0';

/** Longer than two renewals take, in milliseconds. */
const RENEWALS_MS = 800;

describe('ViewLeaseTask with a store that executes calls without a response late', () => {
  let state: MemoryStoreState;
  let store: LateStore;
  let renewed: ClockReading[];
  const tasks: ViewLeaseTask[] = [];

  beforeEach(() => {
    state = new MemoryStoreState();
    store = new LateStore(state);
    renewed = [];
  });

  afterEach(async () => {
    for (const task of tasks.splice(0)) await task.stop(0);
    state.close();
  });

  async function begin(): Promise<ViewLeaseTask> {
    const task = new ViewLeaseTask({
      name: SELF,
      store,
      keyRevision: () =>
        state.items.get(KNOWN_PROXY_PREFIX + SELF)?.revision ?? 0,
      proxyCount: () => 9,
      log: createSilentLogger(),
      onRenewed: sentAt => renewed.push(sentAt),
      onRecordsNeeded: () => undefined,
      onDropped: () => undefined,
    });
    tasks.push(task);
    await task.start();
    return task;
  }

  async function awaitPublication(task: ViewLeaseTask): Promise<void> {
    while (!task.isPublished) await sleep(5);
  }

  /** Revokes the lease named by the store, as a change of primary does. */
  function revokeNamedLease(): void {
    const value = state.items.get(KNOWN_PROXY_PREFIX + SELF)?.value;
    const lease = value?.toString().split('/').at(-1);
    if (lease !== undefined) state.revokeLease(Number(lease));
  }

  it('extends no view after the lease named by the store was revoked, although an older one was published late', async () => {
    store.unanswered = 1;
    const task = await begin();
    await awaitPublication(task);
    expect(store.hasLate).toEqual(true);
    await store.executeLate();
    task.onRecordsRead(readClocks());
    await sleep(RENEWALS_MS);
    expect(renewed.length > 0).toEqual(true);

    revokeNamedLease();
    // A renewal may be in progress.
    await sleep(50);
    const count = renewed.length;
    await sleep(RENEWALS_MS);
    expect(renewed.length).toEqual(count);
  });

  it('extends no view while the store does not name this proxy, because its earlier incarnation was removed from the list late', async () => {
    const earlier = await begin();
    await awaitPublication(earlier);
    store.unanswered = 1;
    await earlier.stop(0);
    expect(store.hasLate).toEqual(true);
    const task = await begin();
    await awaitPublication(task);
    task.onRecordsRead(readClocks());
    await store.executeLate();
    // A renewal may be in progress.
    await sleep(50);
    const count = renewed.length;
    await sleep(RENEWALS_MS);
    const isNamed = state.items.has(KNOWN_PROXY_PREFIX + SELF);
    expect(isNamed || renewed.length === count).toEqual(true);
  });
});
