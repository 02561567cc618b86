import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {LeavingReplicas} from '../../src/core/coordinator/leaving-replicas.js';
import {steadyNowMs} from '../../src/core/time/index.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {DatabaseGroup} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {
  createPrimaryChangeContext,
  registeredInstance,
} from '../support/primary-change-context.js';

const GROUP = 'ledger';

describe('a restored record of an earlier term, whose primary still leads it', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let context: PrimaryChangeContext;
  let oldPrimary: MemoryInstance;
  let primary: MemoryInstance;
  let replica: MemoryInstance;
  let staying: MemoryInstance;

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 4);
    [oldPrimary, primary, replica, staying] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    primary.isPrimary = true;
    primary.term = 2;
    view = new DatabaseGroup(GROUP);
    context = createPrimaryChangeContext({
      self: 'proxy-1',
      state,
      group,
      promotions: new GroupPromotions(group),
      view,
    });
    view.applyRecord({
      record: steady(2, primary),
      revision: state.revision,
      generation: 1,
    });
  });

  afterEach(() => {
    context.control.closeAll();
    group.close();
    state.close();
  });

  function steady(term: number, {id}: MemoryInstance): PrimaryRecord {
    return {term, primary: id, phase: PrimaryPhase.Steady, generation: 1};
  }

  function restoreEarlierTerm(): void {
    view.onStoreRestored();
    const record = steady(1, oldPrimary);
    view.applyRecord({record, revision: state.revision, generation: 2});
  }

  function removeReplica(): void {
    replica.isDown = true;
    context.directory.markMissing(replica.id);
    context.directory.removeMissing(steadyNowMs() + 60_000, false);
  }

  it('bounds no departure of the present term', async () => {
    removeReplica();
    restoreEarlierTerm();
    await context.departures.boundDepartures(view);

    const {id, bornAtMs} = replica;
    expect(context.departures.of(GROUP).unbounded).toEqual([{id, bornAtMs}]);
  });

  it('bounds no leaving replica that is held for the present term only', async () => {
    context.directory.register({
      ...registeredInstance(replica.id, GROUP),
      isLeaving: true,
    });
    restoreEarlierTerm();
    await new LeavingReplicas(context).update(view);
    expect([replica.heldTerm, staying.heldTerm]).toEqual([2, 0]);
    // It receives entries of term 2 with this hold.
    replica.term = 2;
    removeReplica();
    view.applyRecord({
      record: {...steady(2, primary), generation: 2},
      revision: state.revision + 1,
      generation: 2,
    });

    const {id, bornAtMs} = replica;
    expect(context.departures.of(GROUP).unbounded).toEqual([{id, bornAtMs}]);
  });
});
