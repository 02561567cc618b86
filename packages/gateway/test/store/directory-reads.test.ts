import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {StoredItems, WatchResult} from '../../src/index.js';
import {StoreMirror} from '../../src/index.js';
import {MemoryStore, MemoryStoreState} from '../support/memory-store.js';
import {createStoreWatchers} from '../support/store-watchers.js';

const DIRECTORY_PREFIX = 'servers/';

/** Longest time between two reads of the directory by an owner, in milliseconds. */
const OWNER_INTERVAL_MS = 3_000;

/** Longer than several attempts to read the directory, in milliseconds. */
const ATTEMPTS_MS = 900;

/** A store that answers reads of the directory badly. */
class UnreliableStore extends MemoryStore {
  /** Number of reads that get no response. */
  failures = 0;
  /** Number of lists whose response is older than the state that was read before. */
  oldLists = 0;

  override async list(
    prefix: string,
    options: {readonly allowStale: boolean},
  ): Promise<StoredItems> {
    this.failIfDue(prefix);
    const response = await super.list(prefix, options);
    if (prefix !== DIRECTORY_PREFIX || this.oldLists === 0) return response;
    this.oldLists -= 1;
    return {...response, items: [], revision: 0};
  }

  override watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<WatchResult> {
    this.failIfDue(prefix);
    return super.watch(prefix, afterRevision, waitMs);
  }

  private failIfDue(prefix: string): void {
    if (prefix !== DIRECTORY_PREFIX || this.failures === 0) return;
    this.failures -= 1;
    throw new SapphiregladeError(ErrorKind.StoreUnavailable, 'No response.');
  }
}

describe(
  'an owner reads the directory within its interval',
  {concurrency: true},
  () => {
    async function verifyLeaveIsKnown(
      disturb: (state: MemoryStoreState, store: UnreliableStore) => void,
    ): Promise<void> {
      const state = new MemoryStoreState();
      const store = new UnreliableStore(state);
      const directory = new StoreMirror(DIRECTORY_PREFIX);
      state.put(`${DIRECTORY_PREFIX}a`, 'ready');
      const watchers = createStoreWatchers({
        store,
        externalListeners: {
          configuration: new StoreMirror('op/config'),
          directory,
        },
      });
      await watchers.start();
      await sleep(OWNER_INTERVAL_MS + ATTEMPTS_MS);
      state.put(`${DIRECTORY_PREFIX}a`, 'leaving');
      disturb(state, store);
      await sleep(OWNER_INTERVAL_MS + ATTEMPTS_MS);
      const [known] = directory.changesSince(undefined).items;
      await watchers.stop();
      state.close();
      expect(known?.value.toString()).toEqual('leaving');
    }

    it('although the store has dropped its history', () =>
      verifyLeaveIsKnown(state => state.compact()));

    it('although two reads get no response', () =>
      verifyLeaveIsKnown((_, store) => {
        store.failures = 2;
      }));

    it('although a list is older than what it has read before', () =>
      verifyLeaveIsKnown((state, store) => {
        state.compact();
        store.oldLists = 1;
      }));
  },
);
