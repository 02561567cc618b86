import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {maximumRelayedAgeMs} from '@sapphireglade/decisions';
import {expect} from 'earl';
import type {WatchResult} from '../src/index.js';
import {StoreMirror} from '../src/index.js';
import {MemoryStore, MemoryStoreState} from './support/memory-store.js';
import {createStoreWatchers} from './support/store-watchers.js';

const CONFIGURATION_KEY = 'op/config';

/** Time within which a configuration must be in force, in milliseconds. */
const WITHIN_MS = 3_000;

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
    while (store.waitsMs.length === 0) await sleep(5);
    store.losesResponses = true;
    state.put(CONFIGURATION_KEY, 'second');
    await sleep(WITHIN_MS);
    const inForce = configuration
      .changesSince(0)
      .items.map(({value}) => value.toString());
    await watchers.stop();
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
    const endsAtMs = performance.now() + 2 * WITHIN_MS;
    while (performance.now() < endsAtMs) {
      await sleep(100);
      const {configuration} = watchers.relayServer.answer({
        kind: 'news',
        known,
      });
      ages.push(configuration.ageMs ?? Infinity);
      // A change in the middle of a watch must not make the next confirmation later.
      if (ages.length === 25) state.put(CONFIGURATION_KEY, 'second');
    }
    await watchers.stop();
    state.close();
    expect(Math.max(...ages) < maximumRelayedAgeMs(WITHIN_MS)).toEqual(true);
    // Each change of the age from high to low is one confirmation.
    const confirmations = ages.filter((age, index) => age < ages[index - 1]!);
    expect(confirmations.length >= 3).toEqual(true);
  });
});
