import {createSilentLogger} from '@sapphireglade/runtime';
import {it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {RESTORE_SETTLE_MS, StoreMirror, StoreWatcher} from '../../src/index.js';
import {MemoryStore, MemoryStoreState} from '../support/memory-store.js';

const PREFIX = 'members/';

/** Longer than a watcher takes to read its sections again, in milliseconds. */
const READ_MS = 200;

/** Time for which the checks of the paused watcher are counted, in milliseconds. */
const PAUSED_MS = 1_000;

/** More checks than a watcher makes that waits between them. */
const MAXIMUM_CHECKS = 20;

it('a paused watcher waits between its checks after a restore of the store', async () => {
  const state = new MemoryStoreState();
  let isPaused = false;
  let checks = 0;
  const watcher = new StoreWatcher({
    store: new MemoryStore(state),
    listeners: [new StoreMirror(PREFIX)],
    watchedPrefix: PREFIX,
    watchWaitMs: () => READ_MS,
    minimumIntervalMs: () => 0,
    shouldPoll: () => false,
    isPaused: () => {
      checks += 1;
      return isPaused;
    },
    log: createSilentLogger(),
    onConfirmed: () => undefined,
  });
  await watcher.start();
  await sleep(READ_MS);
  state.restore(state.backup());
  await sleep(2 * READ_MS);
  isPaused = true;
  await sleep(RESTORE_SETTLE_MS);
  checks = 0;
  await sleep(PAUSED_MS);
  await watcher.stop(0);
  state.close();
  expect(checks).toBeLessThan(MAXIMUM_CHECKS);
});
