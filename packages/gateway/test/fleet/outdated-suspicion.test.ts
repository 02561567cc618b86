import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryFleet} from '../support/memory-fleet.js';

/** Time within which a dead primary must be replaced, in milliseconds. */
const REPLACED_WITHIN_MS = 12_000;

/** Time for which a new primary leads before it fails, in milliseconds. */
const STEADY_MS = 3_000;

/** Time in which a proxy publishes that it cannot reach the primary, in milliseconds. */
const SUSPECTED_MS = 1_500;

describe('a proxy that hears nothing, and whose calls the store executes', () => {
  let fleet: MemoryFleet;

  beforeEach(async () => {
    fleet = new MemoryFleet();
    await fleet.start(2);
  });

  afterEach(async () => {
    for (const {store} of fleet.proxies) store.losesAnswers = false;
    await fleet.stop();
  });

  function leader(): MemoryInstance {
    return fleet.group.instances.find(
      ({isPrimary, isDown}) => isPrimary && !isDown,
    )!;
  }

  async function crashPrimary(): Promise<MemoryInstance> {
    const {group} = fleet;
    const old = leader();
    group.crash(old);
    const deadlineMs = performance.now() + REPLACED_WITHIN_MS;
    while (leader() === undefined && performance.now() < deadlineMs)
      await sleep(20);
    expect(leader() === undefined).toEqual(false);
    return old;
  }

  // Guards against a suspicion of a former primary that hides one of the present.
  it('does not keep a second primary that fails from being replaced', async () => {
    const {group, proxies} = fleet;
    const cut = proxies[1]!;
    for (const {id} of group.instances) group.partition(cut.name, id);
    await sleep(SUSPECTED_MS);
    cut.store.losesAnswers = true;
    const old = await crashPrimary();
    old.isPrimary = false;
    old.log = leader().log.slice();
    old.term = leader().term;
    group.restart(old, 1);
    await sleep(STEADY_MS);
    await crashPrimary();
  });
});
