import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {coordinatorKey} from '../../src/index.js';
import {MemoryFleet} from '../support/memory-fleet.js';

/** Number of proxies of the fleet; more than own a group. */
const PROXIES = 4;

/** Maximum time until another primary is promoted, in milliseconds. */
const REPAIR_TIMEOUT_MS = 10_000;

/**
 * Long enough for a proxy to switch to the store relay of other proxies, in
 * milliseconds.
 */
const RELAY_SWITCH_MS = 4_000;

describe('a coordinator that no longer owns a group', () => {
  const fleet = new MemoryFleet();

  before(() => fleet.start(PROXIES));

  after(() => fleet.stop());

  it('still replaces a primary', async () => {
    const {items, generation} = fleet.store;
    const holder = items.get(coordinatorKey(generation))!.value.toString();
    const coordinator = fleet.proxies.find(({name}) =>
      holder.startsWith(`${name}/`),
    )!;
    const {settings} = coordinator;
    const capacity = {...settings.current.capacity, memoryMb: 0.001};
    settings.apply({...settings.current, capacity});
    await sleep(RELAY_SWITCH_MS);
    fleet.group.instances[0]!.isDown = true;
    const hasNewPrimary = (): boolean =>
      fleet.group.instances.slice(1).some(({isPrimary}) => isPrimary);
    const deadlineMs = performance.now() + REPAIR_TIMEOUT_MS;
    while (!hasNewPrimary() && performance.now() < deadlineMs) await sleep(20);
    expect(hasNewPrimary()).toEqual(true);
  });
});
