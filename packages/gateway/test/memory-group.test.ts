import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {MemoryGroup} from './support/memory-group.js';

/** Longer than a promotion of the group takes, in milliseconds. */
const PROMOTED_MS = 300;

/** Shorter than that, and longer than a commit takes, in milliseconds. */
const LATE_MS = 150;

/**
 * Longer than the interval between two attempts to replicate, in milliseconds.
 */
const BLOCKED_MS = 30;

describe('MemoryGroup', () => {
  let group: MemoryGroup;

  beforeEach(() => {
    group = new MemoryGroup('ledger', 3);
  });

  afterEach(() => group.close());

  it('acknowledges nothing at a primary that comes back after another was promoted', async () => {
    const [old, next, follower] = group.instances;
    let isAcknowledged = false;
    void group.commit(old!, 'q1').then(() => (isAcknowledged = true));
    group.crash(old!);
    group.promote(next!.id, 1);
    await sleep(PROMOTED_MS);
    expect(next!.isPrimary).toEqual(true);
    follower!.heldTerm = 0;
    // Blocks the process, so that the next attempt to replicate is overdue when
    // the old primary restarts.
    const blockedUntilMs = performance.now() + BLOCKED_MS;
    while (performance.now() < blockedUntilMs);
    group.restart(old!, 2);
    await sleep(PROMOTED_MS);
    expect(isAcknowledged).toEqual(false);
    expect(follower!.log).toEqual([]);
  });

  it('promotes an instance with what it has when a late order takes effect', async () => {
    const [old, next] = group.instances;
    group.drawPromotionDelayMs = () => LATE_MS;
    group.promote(next!.id, 1);
    await group.commit(old!, 'q1');
    expect([next!.isPrimary, group.ordered.length]).toEqual([false, 1]);
    const kept: string[] = [];
    group.onPromoted = ({log}) =>
      kept.push(...log.map(({requestId}) => requestId));
    await sleep(PROMOTED_MS);
    expect([next!.isPrimary, group.ordered.length]).toEqual([true, 0]);
    expect(kept).toEqual(['q1']);
  });

  it('ignores a late order for an instance that has lost its log or is down', async () => {
    const [old, next, other] = group.instances;
    group.promote(next!.id, 1);
    group.promote(other!.id, 2);
    group.crash(next!);
    group.restartWithoutLog(next!, 2);
    group.crash(other!);
    await sleep(PROMOTED_MS);
    expect(group.instances.map(({isPrimary}) => isPrimary)).toEqual([
      true,
      false,
      false,
    ]);
    expect([old!.term, next!.term, next!.bornAtMs]).toEqual([1, 1, 2]);
  });

  it('changes nothing when the present primary is promoted', async () => {
    const [primary] = group.instances;
    group.promote(primary!.id, 1);
    await sleep(PROMOTED_MS);
    expect([primary!.isPrimary, primary!.term]).toEqual([true, 1]);
  });

  it('gives no two primaries the same term', async () => {
    const [old, next, other] = group.instances;
    group.partition(next!.id, other!.id);
    group.promote(next!.id, 1);
    await sleep(PROMOTED_MS);
    group.promote(other!.id, 2);
    await sleep(PROMOTED_MS);
    expect([next!.isPrimary, other!.isPrimary]).toEqual([true, true]);
    expect(other!.term > next!.term).toEqual(true);
    expect(old!.isPrimary).toEqual(false);
  });

  it('lets a replica that joins receive and confirm', async () => {
    const [primary, ...others] = group.instances;
    for (const {id} of others) group.partition(primary!.id, id);
    const joined = group.addInstance();
    const entry = await group.commit(primary!, 'q1');
    expect(joined.log).toEqual([entry!]);
  });
});
