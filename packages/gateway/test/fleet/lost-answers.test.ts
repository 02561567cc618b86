import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {coordinatorKey} from '../../src/index.js';
import type {FleetProxy} from '../support/memory-fleet.js';
import {MemoryFleet} from '../support/memory-fleet.js';

/** Number of proxies of the fleet. */
const PROXIES = 4;

/** Time within which a dead primary must be replaced, in milliseconds. */
const REPLACED_WITHIN_MS = 8_000;

describe('a store that executes the calls of one proxy, but does not answer them', () => {
  let fleet: MemoryFleet;

  beforeEach(() => {
    fleet = new MemoryFleet();
  });

  afterEach(async () => {
    for (const {store} of fleet.proxies) store.losesAnswers = false;
    await fleet.stop();
  });

  /** Name of the coordinator, according to the store. */
  function coordinator(): string | undefined {
    const {items, generation} = fleet.store;
    return items
      .get(coordinatorKey(generation))
      ?.value.toString()
      .split('/')[0];
  }

  function find(name: string | undefined): FleetProxy {
    return fleet.proxies.find(each => each.name === name)!;
  }

  /** Crashes the primary, and waits until another one leads, up to a time limit. */
  async function crashPrimary(): Promise<void> {
    const {instances} = fleet.group;
    const old = instances.find(({isPrimary}) => isPrimary)!;
    old.isDown = true;
    const deadlineMs = performance.now() + REPLACED_WITHIN_MS;
    while (!isReplaced(old.id) && performance.now() < deadlineMs)
      await sleep(20);
    expect(isReplaced(old.id)).toEqual(true);
  }

  function isReplaced(id: string): boolean {
    return fleet.group.instances.some(each => each.id !== id && each.isPrimary);
  }

  /**
   * Vacates the coordinator's role. The proxy that claims it first hears nothing
   * from the store any more, not even that it has it.
   */
  async function loseAnswersToClaim(): Promise<FleetProxy> {
    const key = coordinatorKey(fleet.store.generation);
    let claimant: FleetProxy | undefined;
    for (const proxy of fleet.proxies) {
      const {store} = proxy;
      const transact = store.transact.bind(store);
      store.transact = transaction => {
        const isClaim = transaction.puts.some(put => put.key === key);
        if (isClaim && claimant === undefined) {
          claimant = proxy;
          store.losesAnswers = true;
        }
        return transact(transaction);
      };
    }
    fleet.store.remove(key);
    while (claimant === undefined || coordinator() !== claimant.name)
      await sleep(5);
    return claimant;
  }

  it('leaves the role to another proxy if that proxy was the coordinator', async () => {
    await fleet.start(PROXIES);
    const cut = find(coordinator());
    cut.store.losesAnswers = true;
    await crashPrimary();
    expect(cut.store.losesAnswers).toEqual(true);
    expect(coordinator() === cut.name).toEqual(false);
  });

  it('leaves the role to another proxy if the answer to its claim was lost', async () => {
    await fleet.start(PROXIES);
    const cut = await loseAnswersToClaim();
    await crashPrimary();
    expect(cut.store.losesAnswers).toEqual(true);
    expect(coordinator() === cut.name).toEqual(false);
  });

  it('does not count that proxy as one that can use the primary', async () => {
    await fleet.start(2);
    find(coordinator()).store.losesAnswers = true;
    await crashPrimary();
  });
});
