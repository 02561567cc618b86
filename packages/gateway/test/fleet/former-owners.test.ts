import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {KNOWN_PROXY_PREFIX, RELEASE_PREFIX} from '../../src/index.js';
import {GROUP, MemoryFleet} from '../support/memory-fleet.js';

/** Number of proxies; more than own the group. */
const PROXIES = 6;

/** Long enough for the owners to change, and for the others to receive the content of the store from them, in milliseconds. */
const SETTLE_MS = 6_000;

/** Longer than a change of primary takes, in milliseconds. */
const CHANGE_TIMEOUT_MS = 15_000;

describe('a proxy that owned a group while another one restarted', () => {
  let fleet: MemoryFleet;

  beforeEach(async () => {
    fleet = new MemoryFleet();
    await fleet.start(PROXIES);
    await restartOwner();
  });

  afterEach(() => fleet.stop());

  /** Returns the rest of the keys with a prefix. */
  function namesWith(prefix: string): string[] {
    return [...fleet.store.items.keys()]
      .filter(key => key.startsWith(prefix))
      .map(key => key.slice(prefix.length));
  }

  function coordinator(): string | undefined {
    const key = `sapphireglade/coordinator/${fleet.store.generation}`;
    return fleet.store.items.get(key)?.value.toString().split('/')[0];
  }

  /** Restarts an owner that does not coordinate. */
  async function restartOwner(): Promise<void> {
    const known = namesWith(KNOWN_PROXY_PREFIX);
    const owner = fleet.proxies.find(
      ({name}) => known.includes(name) && name !== coordinator(),
    );
    if (owner === undefined) throw new Error('There is no other owner.');
    await owner.gateway.stop();
    fleet.proxies.splice(fleet.proxies.indexOf(owner), 1);
    await sleep(SETTLE_MS);
    await fleet.startProxy(owner.name);
    await sleep(2 * SETTLE_MS);
  }

  /** Crashes the primary and waits until another one leads. */
  async function replacePrimary(): Promise<void> {
    const {instances} = fleet.group;
    instances[0]!.isDown = true;
    const deadlineMs = performance.now() + CHANGE_TIMEOUT_MS;
    while (!instances.some(each => each.isPrimary && !each.isDown)) {
      if (performance.now() > deadlineMs)
        throw new Error('The primary was not replaced in time.');
      await sleep(10);
    }
  }

  it('is not waited for as one that is cut off when the primary is replaced', async () => {
    await replacePrimary();
    const released = namesWith(`${RELEASE_PREFIX}${GROUP}/`);
    const silent = namesWith(KNOWN_PROXY_PREFIX).filter(
      name => name !== coordinator() && !released.includes(name),
    );
    expect(silent).toEqual([]);
  });
});
