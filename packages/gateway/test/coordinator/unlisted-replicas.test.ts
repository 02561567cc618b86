import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../../src/core/coordinator/primary-change.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {
  coordinatorKey,
  DatabaseGroup,
  primaryRecordKey,
} from '../../src/index.js';
import {readClocks, steadyNowMs} from '../../src/core/time/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {
  createPrimaryChangeContext,
  registeredInstance,
} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';
const FIRST = 'proxy-1';
const SECOND = 'proxy-2';

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

interface Coordinator {
  readonly view: DatabaseGroup;
  readonly context: PrimaryChangeContext;
}

describe('a replica without an entry that still follows the primary', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let promotions: GroupPromotions;
  let coordinating: string;
  let first: Coordinator;
  let second: Coordinator;
  let former: MemoryInstance;
  let next: MemoryInstance;
  let behind: MemoryInstance;
  let unlisted: MemoryInstance;

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 4);
    promotions = new GroupPromotions(group);
    [former, next, behind, unlisted] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    const record: PrimaryRecord = {
      term: 1,
      primary: former.id,
      primaryBornAtMs: 1,
      phase: PrimaryPhase.Steady,
      confirmers: {
        instances: [next, behind, unlisted].map(({id}) => ({id, bornAtMs: 1})),
      },
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    coordinating = FIRST;
    second = createCoordinator(SECOND);
    first = createCoordinator(FIRST);
    for (const each of [first, second]) follow(each);
  });

  afterEach(() => {
    coordinating = '';
    for (const {context} of [first, second]) context.control.closeAll();
    group.close();
    state.close();
  });

  function createCoordinator(self: string): Coordinator {
    const view = new DatabaseGroup(GROUP);
    const context = createPrimaryChangeContext({
      self,
      state,
      group,
      promotions,
      view,
      isCoordinating: () => coordinating === self,
      isDirectoryCurrent: sinceMs => steadyNowMs() >= sinceMs,
    });
    for (const {id} of group.instances)
      context.directory.register({
        ...registeredInstance(id, GROUP),
        bornAtMs: 1,
      });
    context.directory.confirm(readClocks());
    return {view, context};
  }

  /** Lets a proxy learn the record of the store. */
  function follow({view}: Coordinator): void {
    const {value, revision} = state.items.get(primaryRecordKey(GROUP))!;
    const record = JSON.parse(value.toString()) as PrimaryRecord;
    view.applyRecord({record, revision, generation: record.generation});
  }

  function removeEntry({context}: Coordinator, {id}: MemoryInstance): void {
    context.directory.markMissing(id);
    context.directory.removeMissing(steadyNowMs() + 60_000, false);
  }

  /** Commits a write that another proxy acknowledges, which tells nothing any more. */
  async function acknowledgeWrite(
    leader: MemoryInstance,
    name: string,
  ): Promise<void> {
    const {position} = (await group.commit(leader, name))!;
    group.acknowledged.set(name, {atMs: steadyNowMs(), position});
  }

  async function replacePrimary({view, context}: Coordinator): Promise<void> {
    const reason = PrimaryChangeReason.Unusable;
    const change = new PrimaryChange(context, view, reason).run();
    await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);
  }

  it('keeps what it confirms after the coordinator, which does not reach it, has bounded its commits', async () => {
    await acknowledgeWrite(former, 'before');
    group.partition(FIRST, unlisted.id);
    removeEntry(first, unlisted);
    await first.context.departures.boundDepartures(first.view);
    group.partition(former.id, next.id);
    group.partition(former.id, behind.id);
    await acknowledgeWrite(former, 'after the bound');
    former.isDown = true;
    await replacePrimary(first);
    expect(group.lost).toEqual([]);
  });

  describe('and whose entry had lapsed before the term began', () => {
    beforeEach(async () => {
      await acknowledgeWrite(former, 'before');
      group.partition(FIRST, unlisted.id);
      removeEntry(first, unlisted);
      await first.context.departures.boundDepartures(first.view);
      former.isDown = true;
      removeEntry(first, former);
      removeEntry(second, former);
      second.context.directory.markMissing(unlisted.id);
      await replacePrimary(first);
    });

    async function confirmAloneAndEnd(): Promise<void> {
      const leader = group.find(first.view.record!.record.primary)!;
      expect(leader.id).toEqual(next.id);
      group.partition(next.id, behind.id);
      await acknowledgeWrite(next, 'confirmed by the unlisted one');
      next.isDown = true;
    }

    it('keeps what it confirms in the term, for the coordinator that recorded it', async () => {
      await confirmAloneAndEnd();
      await replacePrimary(first);
      expect(group.lost).toEqual([]);
    });

    it('keeps what it confirms in the term, for a later coordinator that noticed the lapse later', async () => {
      follow(second);
      await confirmAloneAndEnd();
      removeEntry(second, unlisted);
      coordinating = SECOND;
      state.put(coordinatorKey(state.generation), SECOND);
      const {revision} = state;
      const context = {
        ...second.context,
        coordinatorRevision: () => (coordinating === SECOND ? revision : 0),
      };
      await replacePrimary({...second, context});
      expect(group.lost).toEqual([]);
    });
  });
});
