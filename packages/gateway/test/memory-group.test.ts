import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {MemoryGroup} from './support/memory-group.js';

/** Longer than a promotion of the group takes, in milliseconds. */
const PROMOTED_MS = 300;

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
});
