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

describe('a change of primary of which a proxy acknowledged a commit that no listed replica has', () => {
  let setup: CoordinatedGroup;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let old: MemoryInstance;

  beforeEach(async () => {
    setup = new CoordinatedGroup();
    ({group, view, old} = setup);
    await write('before');
    // Joins after the list was read, and cannot reach the store.
    group.join();
    group.partition(old.id, setup.first.id);
    group.partition(old.id, setup.second.id);
    await write('confirmed');
  });

  afterEach(() => {
    setup.close();
  });

  /** Commits a write and acknowledges it. */
  async function write(requestId: string): Promise<void> {
    const before = old.position;
    const entry = await group.commit(old, requestId);
    if (entry === undefined) throw new Error('The write was refused.');
    const {position} = entry;
    group.acknowledged.set(requestId, {atMs: performance.now(), position});
    view.acknowledged.record(position, before);
  }

  it('waits for the old primary rather than promote a replica that lacks the commit', async () => {
    group.partition(SELF, old.id);
    const change = setup.replacePrimary();
    await sleep(CUT_MS);
    group.reconnect(SELF, old.id);
    await change;
    expect(group.lost).toEqual([]);
    expect(group.missingAt(group.find(leader()))).toEqual([]);
  });

  it('promotes the old primary that answers with the commit', async () => {
    await setup.replacePrimary();
    expect(group.lost).toEqual([]);
    expect(group.missingAt(group.find(leader()))).toEqual([]);
  });

  function leader(): string {
    return view.storedRecord?.record.primary ?? '';
  }
});
