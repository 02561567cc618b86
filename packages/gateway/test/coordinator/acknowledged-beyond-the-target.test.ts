import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChange,
  PrimaryChangeReason,
} from '../../src/core/coordinator/primary-change.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {
  DatabaseGroup,
  primaryRecordKey,
  REGISTRATION_MS,
  steadyNowMs,
} from '../../src/index.js';
import {ChangingGroup} from '../support/changing-group.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';

/** Longer than a change waits for late entries, in milliseconds. */
const CUT_MS = REGISTRATION_MS + 2_000;

describe('a change of primary of which a proxy acknowledged a commit that no listed replica has', () => {
  let state: MemoryStoreState;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let context: PrimaryChangeContext;
  let isCoordinating: boolean;
  let old: MemoryInstance;
  let first: MemoryInstance;
  let second: MemoryInstance;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new ChangingGroup(GROUP, 3);
    [old, first, second] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    view = new DatabaseGroup(GROUP);
    isCoordinating = true;
    context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions: new GroupPromotions(group),
      view,
      isCoordinating: () => isCoordinating,
      isDirectoryCurrent: sinceMs => steadyNowMs() >= sinceMs,
    });
    const record: PrimaryRecord = {
      term: 1,
      primary: old.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    await write('before');
    // Joins after the list was read, and cannot reach the store.
    group.join();
    group.partition(old.id, first.id);
    group.partition(old.id, second.id);
    await write('confirmed');
  });

  afterEach(() => {
    isCoordinating = false;
    context.control.closeAll();
    group.close();
    state.close();
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

  function run(): Promise<void> {
    return new PrimaryChange(context, view, PrimaryChangeReason.Unusable).run();
  }

  it('waits for the old primary rather than promote a replica that lacks the commit', async () => {
    group.partition(SELF, old.id);
    const change = run();
    await sleep(CUT_MS);
    group.reconnect(SELF, old.id);
    await change;
    expect(group.lost).toEqual([]);
    expect(group.missingAt(group.find(leader()))).toEqual([]);
  });

  it('promotes the old primary that answers with the commit', async () => {
    await run();
    expect(group.lost).toEqual([]);
    expect(group.missingAt(group.find(leader()))).toEqual([]);
  });

  function leader(): string {
    return view.storedRecord?.record.primary ?? '';
  }
});
