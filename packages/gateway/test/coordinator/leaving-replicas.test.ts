import {after, afterEach, before, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {steadyNowMs} from '../../src/core/time/index.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import type {ChangingGroup} from '../support/changing-group.js';
import {CoordinatedGroup, GROUP, SELF} from '../support/coordinated-group.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {registeredInstance} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';

/** Long enough for a coordinator to check its groups several times, in milliseconds. */
const SEVERAL_CHECKS_MS = 600;

/** Time of the second start of an instance, in Unix milliseconds. */
const RESTARTED_AT_MS = 2;

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

/** Longer than a test takes until the primary is lost, in milliseconds. */
const LONG_DELAY_MS = 10_000;

/** Longer than the answer to a hold takes, in milliseconds. */
const ANSWER_MS = 100;

/** Longer than it takes to release a replica and to hold it again, in milliseconds. */
const RELEASE_DELAY_MS = 2_000;

describe('a replica that has announced that it leaves', () => {
  let setup: CoordinatedGroup;
  let group: ChangingGroup;
  let promotions: GroupPromotions;
  let context: PrimaryChangeContext;
  /** How late a command of an earlier coordinator may arrive, in milliseconds. */
  let orderPendingMs = 0;
  let primary: MemoryInstance;
  let leaving: MemoryInstance;
  let staying: MemoryInstance;

  beforeEach(async () => {
    setup = new CoordinatedGroup({
      createPromotions: changing =>
        (promotions = new GroupPromotions(changing)),
      orderPendingMs,
      isDirectoryCurrent: () => true,
    });
    ({group, context, old: primary, first: leaving, second: staying} = setup);
    await setup.startChecks();
    context.directory.register({
      ...registeredInstance(leaving.id, GROUP),
      isLeaving: true,
    });
    await sleep(SEVERAL_CHECKS_MS);
  });

  afterEach(async () => {
    await setup.stopChecks();
    setup.close();
  });

  /** Writes, and records the write once it is acknowledged. */
  function write(name: string): void {
    void group.commit(primary, name).then(entry => {
      const {position} = entry!;
      group.acknowledged.set(name, {atMs: steadyNowMs(), position});
    });
  }

  function removeFromDirectory(instance: MemoryInstance): void {
    context.directory.markMissing(instance.id);
    context.directory.removeMissing(steadyNowMs() + 60_000, false);
  }

  // Guards against commits that are gone with the replica that alone confirmed them.
  it('does not confirm commits alone, so that none is lost with its log', async () => {
    group.partition(primary.id, staying.id);
    write('beyond the replica that stays');
    await sleep(SEVERAL_CHECKS_MS);
    await setup.stopChecks();
    leaving.isDown = true;
    removeFromDirectory(leaving);
    primary.isDown = true;
    removeFromDirectory(primary);

    const change = setup.replacePrimary();
    await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);

    expect([...group.acknowledged.keys()]).toEqual([]);
    expect(group.lost).toEqual([]);
    expect(promotions.targets).toEqual([staying.id]);
  });

  it('leaves commits to the replica that stays', async () => {
    write('confirmed by the replica that stays');
    await sleep(SEVERAL_CHECKS_MS);

    expect(group.acknowledged.size).toEqual(1);
    expect(staying.log.length).toEqual(1);
    expect(leaving.log.length).toEqual(0);
  });

  it('is held again after a promotion has ended its hold', async () => {
    leaving.heldTerm = 0;
    await sleep(SEVERAL_CHECKS_MS);

    expect(leaving.heldTerm).toEqual(2);
  });

  it('confirms commits if no other replica is registered', async () => {
    staying.isDown = true;
    context.directory.markMissing(staying.id);
    await sleep(SEVERAL_CHECKS_MS);
    write('confirmed by the only replica');
    await sleep(SEVERAL_CHECKS_MS);

    expect(group.acknowledged.size).toEqual(1);
    expect(leaving.heldTerm).toEqual(0);
  });

  // Guards against a bound by a hold that another coordinator has ended.
  it('is not bounded by a hold from before the role was lost', async () => {
    setup.isCoordinating = false;
    await sleep(SEVERAL_CHECKS_MS);
    leaving.heldTerm = 0;
    group.partition(primary.id, staying.id);
    write('confirmed by the released replica');
    await sleep(SEVERAL_CHECKS_MS);
    expect(group.acknowledged.size).toEqual(1);
    leaving.isDown = true;
    removeFromDirectory(leaving);
    primary.isDown = true;
    removeFromDirectory(primary);
    setup.isCoordinating = true;
    await setup.stopChecks();

    const change = setup.replacePrimary();
    await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);

    expect(promotions.targets).toEqual([]);
    expect(group.lost).toEqual([]);
  });

  // Guards against a bound by the log of the next start, whose entry is late.
  it('is bounded by what it had before it restarted without its log', async () => {
    group.partition(primary.id, staying.id);
    leaving.heldTerm = 0;
    write('confirmed before the hold');
    await sleep(SEVERAL_CHECKS_MS);
    expect(group.acknowledged.size).toEqual(1);
    group.crash(leaving);
    leaving.log = [];
    group.restart(leaving, RESTARTED_AT_MS);
    group.partition(primary.id, leaving.id);
    await sleep(SEVERAL_CHECKS_MS);
    context.directory.register({
      ...registeredInstance(leaving.id, GROUP),
      bornAtMs: RESTARTED_AT_MS,
    });
    primary.isDown = true;
    removeFromDirectory(primary);
    await setup.stopChecks();

    const change = setup.replacePrimary();
    await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);

    expect(promotions.targets).toEqual([]);
    expect(group.lost).toEqual([]);
  });

  describe('while a release of an earlier coordinator may arrive', () => {
    before(() => {
      orderPendingMs = LONG_DELAY_MS;
    });

    after(() => {
      orderPendingMs = 0;
    });

    // Guards against a bound by a hold that ended unseen.
    it('is not bounded by a hold that a late release of an earlier coordinator ended', async () => {
      group.partition(primary.id, staying.id);
      group.partition(SELF, leaving.id);
      leaving.heldTerm = 0;
      write('confirmed after the late release');
      await sleep(SEVERAL_CHECKS_MS);
      expect(group.acknowledged.size).toEqual(1);
      leaving.isDown = true;
      removeFromDirectory(leaving);
      primary.isDown = true;
      removeFromDirectory(primary);
      await setup.stopChecks();

      const change = setup.replacePrimary();
      await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);

      expect(promotions.targets).toEqual([]);
      expect(group.lost).toEqual([]);
    });
  });

  describe('once a release of an earlier coordinator can arrive no more', () => {
    before(() => {
      orderPendingMs = RELEASE_DELAY_MS;
    });

    after(() => {
      orderPendingMs = 0;
    });

    it('is bounded by its hold', async () => {
      await sleep(RELEASE_DELAY_MS + 2 * SEVERAL_CHECKS_MS);
      group.partition(SELF, leaving.id);
      leaving.isDown = true;
      removeFromDirectory(leaving);
      primary.isDown = true;
      removeFromDirectory(primary);
      await setup.stopChecks();

      const change = setup.replacePrimary();
      await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);

      expect(promotions.targets).toEqual([staying.id]);
    });

    // Guards against a bound by a hold that a late release of the same coordinator ended.
    it('is not bounded by a hold that follows a release of this one', async () => {
      await sleep(RELEASE_DELAY_MS + 2 * SEVERAL_CHECKS_MS);
      context.directory.markMissing(staying.id);
      while (leaving.heldTerm > 0) await sleep(1);
      context.directory.register(registeredInstance(staying.id, GROUP));
      while (leaving.heldTerm === 0) await sleep(1);
      await sleep(ANSWER_MS);
      group.partition(SELF, leaving.id);
      group.partition(primary.id, staying.id);
      leaving.heldTerm = 0;
      write('confirmed after the late release');
      await sleep(SEVERAL_CHECKS_MS);
      expect(group.acknowledged.size).toEqual(1);
      leaving.isDown = true;
      removeFromDirectory(leaving);
      primary.isDown = true;
      removeFromDirectory(primary);
      await setup.stopChecks();

      const change = setup.replacePrimary();
      await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);

      expect(promotions.targets).toEqual([]);
      expect(group.lost).toEqual([]);
    });
  });
});
