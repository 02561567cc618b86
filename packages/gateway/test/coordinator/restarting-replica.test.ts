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
import {DatabaseGroup, primaryRecordKey, steadyNowMs} from '../../src/index.js';
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

/** Time between two restarts of the replica, in milliseconds. */
const RESTART_INTERVAL_MS = 2_500;

/** Longer than a change of primary takes, in milliseconds. */
const CHANGE_TIMEOUT_MS = 20_000;

describe('a change of primary while an instance does not stay up', () => {
  let state: MemoryStoreState;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let context: PrimaryChangeContext;
  let holder: ViewHolder;
  let restarts: NodeJS.Timeout;
  let isCoordinating: boolean;
  let old: MemoryInstance;
  let restarting: MemoryInstance;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new ChangingGroup(GROUP, 3);
    [old, restarting] = group.instances as [MemoryInstance, MemoryInstance];
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
    group.partition(SELF, old.id);
    restarts = setInterval(() => restart(), RESTART_INTERVAL_MS);
  });

  afterEach(() => {
    clearInterval(restarts);
    isCoordinating = false;
    holder.stop();
    context.control.closeAll();
    group.close();
    state.close();
  });

  function restart(): void {
    group.restartWithLog(restarting);
    const {id, bornAtMs} = restarting;
    context.directory.register({...registeredInstance(id, GROUP), bornAtMs});
  }

  it('ends although a proxy is cut off and a replica restarts again and again', async () => {
    const change = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unusable,
    ).run();
    await Promise.race([
      change,
      sleep(CHANGE_TIMEOUT_MS, undefined, {ref: false}),
    ]);
    expect(view.storedRecord?.record.phase).toEqual(PrimaryPhase.Steady);
    expect(group.lost).toEqual([]);
  });
});
