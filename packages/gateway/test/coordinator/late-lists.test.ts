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

/** Within which a dead primary must be replaced, in milliseconds. */
const CHANGE_MS = 8_000;

interface Coordinator {
  readonly view: DatabaseGroup;
  readonly context: PrimaryChangeContext;
}

describe('a coordinator that noticed later than the one before that an instance had gone', () => {
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

  /** Replaces the former primary; the first coordinator does not list it any more. */
  async function beginSecondTerm(): Promise<void> {
    await acknowledgeWrite(former, 'before');
    former.isDown = true;
    removeEntry(first, former);
    await replacePrimary(first);
    expect(first.view.record?.record.term).toEqual(2);
  }

  /** Lets the next primary end, and the second coordinator replace it. */
  async function replaceNext(): Promise<void> {
    group.find(first.view.record!.record.primary)!.isDown = true;
    removeEntry(second, former);
    coordinating = SECOND;
    state.put(coordinatorKey(state.generation), SECOND);
    const {revision} = state;
    const context = {
      ...second.context,
      coordinatorRevision: () => (coordinating === SECOND ? revision : 0),
    };
    await replacePrimary({...second, context});
  }

  function restartBriefly({context}: Coordinator): void {
    context.directory.register({
      ...registeredInstance(former.id, GROUP),
      bornAtMs: 10,
    });
  }

  it('replaces the next primary if that instance was missing', async () => {
    second.context.directory.markMissing(former.id);
    await beginSecondTerm();
    follow(second);
    await replaceNext();
    expect(promotions.targets.length).toEqual(2);
  });

  it('replaces the next primary if that instance had started again during the change, and gone', async () => {
    for (const each of [first, second]) restartBriefly(each);
    second.context.directory.markMissing(former.id);
    await beginSecondTerm();
    follow(second);
    await replaceNext();
    expect(promotions.targets.length).toEqual(2);
  });

  it('replaces the next primary if it read the list last before that instance had gone', async () => {
    await beginSecondTerm();
    follow(second);
    await replaceNext();
    expect(promotions.targets.length).toEqual(2);
  });
});
