import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {COORDINATOR_KEY} from '../../src/index.js';
import {MemoryFleet} from '../support/memory-fleet.js';

/** Proxies of the fleet; more than own a group. */
const PROXIES = 4;

/** How long another primary may take, in milliseconds. */
const REPAIR_TIMEOUT_MS = 10_000;

/** Long enough for a proxy to rely on the news of others, in milliseconds. */
const RELY_MS = 4_000;

describe('a coordinator that owns no group any more', () => {
  const fleet = new MemoryFleet();

  before(() => fleet.start(PROXIES));

  after(() => fleet.stop());

  it('still replaces a primary', async () => {
    const holder = fleet.store.items.get(COORDINATOR_KEY)!.value.toString();
    const coordinator = fleet.proxies.find(({name}) =>
      holder.startsWith(`${name}/`),
    )!;
    const {settings} = coordinator;
    const capacity = {...settings.current.capacity, memoryMb: 0.001};
    settings.apply({...settings.current, capacity});
    await sleep(RELY_MS);
    fleet.group.instances[0]!.isDown = true;
    const hasOther = (): boolean =>
      fleet.group.instances.slice(1).some(({isPrimary}) => isPrimary);
    const limitMs = performance.now() + REPAIR_TIMEOUT_MS;
    while (!hasOther() && performance.now() < limitMs) await sleep(20);
    expect(hasOther()).toEqual(true);
  });
});
