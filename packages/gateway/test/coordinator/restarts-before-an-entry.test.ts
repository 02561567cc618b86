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
import {
  createPrimaryChangeContext,
  registeredInstance,
} from '../support/primary-change-context.js';
import {ViewHolder} from '../support/view-holder.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';

/** Time after its second restart until its entry appears, in milliseconds. */
const LATE_ENTRY_MS = REGISTRATION_MS - 100;

/** Longer than a change waits for late entries, in milliseconds. */
const CUT_MS = REGISTRATION_MS + 1_500;

describe('a change of primary beside a replica without its log', () => {
  let state: MemoryStoreState;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let context: PrimaryChangeContext;
  let holder: ViewHolder;
  let isCoordinating: boolean;
  let beforeList: () => void;
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
    beforeList = () => undefined;
    context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions: new GroupPromotions(group),
      view,
      isCoordinating: () => isCoordinating,
      isDirectoryCurrent: sinceMs => {
        const isCurrent = steadyNowMs() >= sinceMs;
        if (isCurrent) beforeList();
        return isCurrent;
      },
    });
    holder = new ViewHolder('proxy-2', group, state);
    holder.publish(context);
    const record: PrimaryRecord = {
      term: 1,
      primary: old.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    expect(await holder.write(old, 'before')).toEqual(true);
  });

  afterEach(() => {
    isCoordinating = false;
    holder.stop();
    context.control.closeAll();
    group.close();
    state.close();
  });

  /** Restarts the first replica without its log; nothing reaches it from the primary. */
  function restart(): void {
    group.restartWithoutLog(first, first.bornAtMs + 1);
    first.heldTerm = 0;
    group.partition(old.id, first.id);
  }

  function run(): Promise<void> {
    return new PrimaryChange(context, view, PrimaryChangeReason.Unusable).run();
  }

  function expectNothingLost(): void {
    expect(group.lost).toEqual([]);
    const recorded = view.storedRecord?.record;
    expect(recorded?.phase).toEqual(PrimaryPhase.Steady);
    expect(group.missingAt(group.find(recorded?.primary ?? ''))).toEqual([]);
  }

  describe('that alone confirmed a commit and restarts again before an entry appears', () => {
    beforeEach(async () => {
      group.partition(old.id, second.id);
      expect(await holder.write(old, 'confirmed')).toEqual(true);
      restart();
      group.crash(old);
    });

    /**
     * Replaces the primary. The replica restarts right before the first list that
     * is late enough for its report.
     */
    async function replacePrimary(onRestart: () => void): Promise<void> {
      const restarted = new Promise<void>(resolve => {
        beforeList = () => {
          beforeList = () => undefined;
          restart();
          onRestart();
          resolve();
        };
      });
      const change = run();
      await restarted;
      await sleep(LATE_ENTRY_MS);
      const {id, bornAtMs} = first;
      context.directory.register({...registeredInstance(id, GROUP), bornAtMs});
      group.reconnect(SELF, first.id);
      await sleep(CUT_MS);
      group.restart(old, old.bornAtMs);
      await change;
    }

    it('waits for the old primary', async () => {
      await replacePrimary(() => undefined);
      expectNothingLost();
    });

    // Guards against a report of the start between that counts as one of the listed start.
    it('waits for the old primary if the start between has received a part of the log', async () => {
      first.log = old.log.slice(0, 1);
      await replacePrimary(() => undefined);
      expectNothingLost();
    });

    it('waits for the old primary if the replica is cut off then', async () => {
      await replacePrimary(() => group.partition(SELF, first.id));
      expectNothingLost();
    });
  });

  // Guards against a change that waits for the old primary although the list still has the start that reported.
  it('goes on without the old primary if the replica never had one', async () => {
    const joined = group.join();
    group.partition(old.id, joined.id);
    const {id, bornAtMs} = joined;
    context.directory.register({...registeredInstance(id, GROUP), bornAtMs});
    group.crash(old);
    await run();
    expect(view.storedRecord?.record.primary).not.toEqual(old.id);
    expectNothingLost();
  });
});
