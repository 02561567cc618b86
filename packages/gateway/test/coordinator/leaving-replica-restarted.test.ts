import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {steadyNowMs} from '../../src/core/time/index.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import type {ChangingGroup} from '../support/changing-group.js';
import {CoordinatedGroup, GROUP} from '../support/coordinated-group.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {registeredInstance} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';

/** Long enough for a coordinator to check its groups several times, in milliseconds. */
const SEVERAL_CHECKS_MS = 600;

/** Time of the second start of an instance, in Unix milliseconds. */
const RESTARTED_AT_MS = 2;

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

describe('a leaving replica that restarted without its log before it was held', () => {
  let setup: CoordinatedGroup;
  let group: ChangingGroup;
  let promotions: GroupPromotions;
  let context: PrimaryChangeContext;
  let primary: MemoryInstance;
  let leaving: MemoryInstance;
  let staying: MemoryInstance;

  beforeEach(async () => {
    setup = new CoordinatedGroup({
      createPromotions: changing =>
        (promotions = new GroupPromotions(changing)),
      orderPendingMs: 0,
      isDirectoryCurrent: () => true,
    });
    ({group, context, old: primary, first: leaving, second: staying} = setup);
    await setup.startChecks(sinceMs => steadyNowMs() >= sinceMs);
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

  // Guards against a bound by the log of the next start, whose entry is late.
  it('is not bounded by the hold of its next start', async () => {
    group.partition(primary.id, staying.id);
    write('confirmed before the hold');
    await sleep(SEVERAL_CHECKS_MS);
    expect(group.acknowledged.size).toEqual(1);
    group.crash(leaving);
    leaving.log = [];
    group.restart(leaving, RESTARTED_AT_MS);
    group.partition(primary.id, leaving.id);
    // The entry is that of the former start.
    context.directory.register({
      ...registeredInstance(leaving.id, GROUP),
      isLeaving: true,
    });
    await sleep(SEVERAL_CHECKS_MS);
    expect(leaving.heldTerm).toEqual(2);
    context.directory.register({
      ...registeredInstance(leaving.id, GROUP),
      bornAtMs: RESTARTED_AT_MS,
    });
    primary.isDown = true;
    await setup.stopChecks();

    const change = setup.replacePrimary();
    await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);

    expect(promotions.targets).toEqual([]);
    expect(group.lost).toEqual([]);
  });
});
