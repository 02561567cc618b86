import {syncBuiltinESMExports} from 'node:module';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import {maximumRelayedAgeMs, maximumWatchAgeMs} from '@sapphireglade/decisions';
import {expect} from 'earl';
import type {WatchResult} from '../src/index.js';
import {StoreMirror} from '../src/index.js';
import {MemoryStore, MemoryStoreState} from './support/memory-store.js';
import {createStoreWatchers} from './support/store-watchers.js';

const CONFIGURATION_KEY = 'op/config';

/** Time within which a configuration must be in force, in milliseconds. */
const WITHIN_MS = 3_000;

/** Longest time that the store of the test takes for a request in addition to its wait, in milliseconds. */
const STORE_DELAY_MS = 10;

/** Loses the responses to all watches of the configuration that are waiting. */
class LossyStore extends MemoryStore {
  readonly waitsMs: number[] = [];
  losesResponses = false;

  override async watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<WatchResult> {
    const response = super.watch(prefix, afterRevision, waitMs);
    if (prefix !== CONFIGURATION_KEY) return response;
    this.waitsMs.push(waitMs);
    const result = await response;
    return this.losesResponses ? new Promise(() => undefined) : result;
  }
}

describe('the watch of the configuration', () => {
  // A process that stands still for a moment confirms nothing in it, so the
  // bounds only hold in time that the test itself advances.
  let nowMs = 0;

  beforeEach(() => {
    nowMs = 0;
    mock.timers.enable({apis: ['setTimeout', 'setInterval']});
    // Named imports of the timers are replaced as well.
    syncBuiltinESMExports();
    mock.method(performance, 'now', () => nowMs);
  });
  afterEach(() => {
    mock.restoreAll();
    mock.timers.reset();
    syncBuiltinESMExports();
  });

  async function advance(durationMs: number): Promise<void> {
    const endsAtMs = nowMs + durationMs;
    while (nowMs < endsAtMs) {
      nowMs += 1;
      mock.timers.tick(1);
      await new Promise(resolve => setImmediate(resolve));
    }
  }

  it('puts a configuration into force in time although a response is lost, and asks rarely', async () => {
    const state = new MemoryStoreState();
    const store = new LossyStore(state);
    const configuration = new StoreMirror(CONFIGURATION_KEY);
    state.put(CONFIGURATION_KEY, 'first');
    const watchers = createStoreWatchers({
      store,
      externalListeners: {
        configuration,
        directory: new StoreMirror('servers/'),
      },
      configurationWithinMs: () => WITHIN_MS,
    });
    await watchers.start();
    while (store.waitsMs.length === 0) await advance(1);
    store.losesResponses = true;
    state.put(CONFIGURATION_KEY, 'second');
    await advance(WITHIN_MS);
    const inForce = configuration
      .changesSince(0)
      .items.map(({value}) => value.toString());
    await Promise.all([watchers.stop(), advance(WITHIN_MS)]);
    state.close();
    expect(inForce).toEqual(['second']);
    expect(store.waitsMs.every(waitMs => waitMs >= WITHIN_MS / 2)).toEqual(
      true,
    );
  });

  it('states how long ago the store held nothing newer, and confirms it in time while others rely on it', async () => {
    const state = new MemoryStoreState();
    const store = new LossyStore(state);
    state.put(CONFIGURATION_KEY, 'first');
    const watchers = createStoreWatchers({
      store,
      configurationWithinMs: () => WITHIN_MS,
    });
    await watchers.start();
    const known = {members: undefined, configuration: undefined};
    const ages: number[] = [];
    while (nowMs < 2 * WITHIN_MS) {
      await advance(100);
      const {configuration} = watchers.relayServer.answer({
        kind: 'news',
        known,
      });
      ages.push(configuration.ageMs ?? Infinity);
      // A change in the middle of a watch must not make the next confirmation later.
      if (ages.length === 25) state.put(CONFIGURATION_KEY, 'second');
    }
    await Promise.all([watchers.stop(), advance(WITHIN_MS)]);
    state.close();
    expect(ages.length).toEqual(60);
    expect(Math.max(...ages) < maximumRelayedAgeMs(WITHIN_MS)).toEqual(true);
    const dueAtMs = maximumWatchAgeMs(WITHIN_MS, true) + STORE_DELAY_MS;
    expect(ages.filter(ageMs => ageMs > dueAtMs)).toEqual([]);
    // Each change of the age from high to low is one confirmation.
    const confirmations = ages.filter((age, index) => age < ages[index - 1]!);
    expect(confirmations.length >= 4).toEqual(true);
  });
});
