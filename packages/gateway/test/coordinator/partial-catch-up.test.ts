import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {DatabaseGroup} from '../../src/index.js';
import {REGISTRATION_MS} from '../../src/index.js';
import type {ChangingGroup} from '../support/changing-group.js';
import {CoordinatedGroup, SELF} from '../support/coordinated-group.js';
import type {MemoryInstance} from '../support/memory-group.js';

/** Longer than a change waits for late entries, in milliseconds. */
const CUT_MS = REGISTRATION_MS + 2_000;

/** Time after which the entry of the restarted replica appears, in milliseconds. */
const LATE_ENTRY_MS = 700;

/** Start of the replica after it restarted, in Unix milliseconds. */
const RESTARTED_AT_MS = 2;

describe('a change of primary beside a replica that restarted without its log', () => {
  let setup: CoordinatedGroup;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let old: MemoryInstance;
  let first: MemoryInstance;

  beforeEach(async () => {
    setup = new CoordinatedGroup();
    ({group, view, old, first} = setup);
    await write('before-1');
    await write('before-2');
    group.partition(old.id, setup.second.id);
    await write('confirmed');
  });

  afterEach(() => {
    setup.close();
  });

  /** Commits a write of a proxy that has stopped since. */
  async function write(requestId: string): Promise<void> {
    const entry = await group.commit(old, requestId);
    if (entry === undefined) throw new Error('The write was refused.');
    const {position} = entry;
    group.acknowledged.set(requestId, {atMs: performance.now(), position});
  }

  /** Restarts the replica without its log; it receives some entries before the primary fails. */
  function restart(received: number): void {
    group.restartWithoutLog(first, RESTARTED_AT_MS);
    first.heldTerm = 0;
    group.partition(old.id, first.id);
    first.log = old.log.slice(0, received);
    group.partition(SELF, old.id);
  }

  async function replacePrimary(): Promise<void> {
    const change = setup.replacePrimary();
    await sleep(LATE_ENTRY_MS);
    setup.register(first);
    await sleep(CUT_MS);
    group.reconnect(SELF, old.id);
    await change;
  }

  function leader(): MemoryInstance | undefined {
    return group.find(view.storedRecord?.record.primary ?? '');
  }

  it('waits for the old primary if the replica has nothing yet', async () => {
    restart(0);
    await replacePrimary();
    expect(group.lost).toEqual([]);
    expect(group.missingAt(leader())).toEqual([]);
  });

  // Guards against a report of a later start that counts as one of the former start.
  it('waits for the old primary if the replica has received a part of the log again', async () => {
    restart(1);
    await replacePrimary();
    expect(group.lost).toEqual([]);
    expect(group.missingAt(leader())).toEqual([]);
  });
});
