import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../../src/core/coordinator/primary-change.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {DatabaseGroup, primaryRecordKey} from '../../src/index.js';
import {steadyNowMs} from '../../src/core/time/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {
  createPrimaryChangeContext,
  registeredInstance,
} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';

/** Longer than a change of primary with views to revoke, in milliseconds. */
const CHANGE_MS = 4_000;

describe('a change of primary after the replica that confirmed commits is gone', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let promotions: GroupPromotions;
  let context: PrimaryChangeContext;
  let isCoordinating: boolean;
  let primary: MemoryInstance;
  let confirming: MemoryInstance;
  let behind: MemoryInstance;
  /** What the change has waited for, in order. */
  let waitsFor: unknown[];

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    [primary, confirming, behind] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    view = new DatabaseGroup(GROUP);
    promotions = new GroupPromotions(group);
    isCoordinating = true;
    waitsFor = [];
    context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions,
      view,
      isCoordinating: () => isCoordinating,
      log: {
        ...createSilentLogger(),
        info: (_message, fields = {}) => {
          if ('waitsFor' in fields) waitsFor.push(fields['waitsFor']);
        },
      },
    });
    const record: PrimaryRecord = {
      term: 1,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    // The third instance receives nothing from either of the others.
    group.partition(primary.id, behind.id);
    group.partition(confirming.id, behind.id);
  });

  afterEach(() => {
    isCoordinating = false;
    context.control.closeAll();
    group.close();
    state.close();
  });

  function announceLeave({id}: MemoryInstance): void {
    const registration = registeredInstance(id, GROUP);
    context.directory.register({...registration, isLeaving: true});
  }

  function restartWithoutLog(instance: MemoryInstance): void {
    instance.log = [];
    instance.bornAtMs = 2;
    const registration = registeredInstance(instance.id, GROUP);
    context.directory.register({...registration, bornAtMs: 2});
  }

  async function acknowledgeWrite(
    leader: MemoryInstance,
    name = 'write',
  ): Promise<void> {
    const entry = await group.commit(leader, name);
    group.acknowledged.set(name, {
      atMs: steadyNowMs(),
      position: entry!.position,
    });
  }

  /** Runs a change until it ends, or for a limited time. */
  async function replacePrimary(
    reason: PrimaryChangeReason = PrimaryChangeReason.Unusable,
  ): Promise<void> {
    const change = new PrimaryChange(context, view, reason).run();
    await Promise.race([change.catch(() => undefined), sleep(CHANGE_MS)]);
  }

  /** Removes the entry of an instance from the directory at once. */
  function removeFromDirectory(instance: MemoryInstance): void {
    const {directory} = context;
    directory.markMissing(instance.id);
    directory.removeMissing(steadyNowMs() + 60_000, false);
  }

  it('promotes the stepped-down primary again if only it has the commits of the term before', async () => {
    await acknowledgeWrite(primary);
    primary.isDown = true;
    await replacePrimary();
    expect(promotions.targets).toEqual([confirming.id]);
    removeFromDirectory(primary);

    await replacePrimary();

    expect(group.lost).toEqual([]);
    expect(promotions.targets).toEqual([confirming.id, confirming.id]);
    expect(view.record?.record.term).toEqual(3);
  });

  it('waits for the old primary if the replica left with its log', async () => {
    await acknowledgeWrite(primary);
    group.partition(SELF, primary.id);
    confirming.isDown = true;
    removeFromDirectory(confirming);

    await replacePrimary();
    expect(promotions.targets).toEqual([]);

    group.reconnect(SELF, primary.id);
    await sleep(CHANGE_MS);
    expect(promotions.targets).toEqual([primary.id]);
    expect(group.lost).toEqual([]);
  });

  // Guards against a bound on an instance that is cut off from the store only and goes on confirming.
  it('waits for a replica that confirmed after its entry had lapsed', async () => {
    group.reconnect(primary.id, behind.id);
    await acknowledgeWrite(primary);
    removeFromDirectory(confirming);
    await context.departures.boundDepartures(view);
    group.partition(primary.id, behind.id);
    await acknowledgeWrite(primary, 'after the lapse');
    primary.isDown = true;

    await replacePrimary();

    expect(promotions.targets).toEqual([]);
    expect(group.lost).toEqual([]);
  });

  it('does not wait if a remaining replica has what the primary had after the departure', async () => {
    group.reconnect(primary.id, behind.id);
    await acknowledgeWrite(primary);
    confirming.isDown = true;
    removeFromDirectory(confirming);
    await context.departures.boundDepartures(view);
    primary.isDown = true;

    await replacePrimary();

    expect(promotions.targets).toEqual([behind.id]);
    expect(group.lost).toEqual([]);
  });

  // Guards against a promotion that rests on lapsed entries alone.
  it('waits while the entries of all that may have the commits have only lapsed', async () => {
    await acknowledgeWrite(primary);
    confirming.isDown = true;
    removeFromDirectory(confirming);
    primary.isDown = true;
    removeFromDirectory(primary);

    await replacePrimary();
    expect(promotions.targets).toEqual([]);
    expect(waitsFor.at(-1)).toEqual(
      `a commit may exist only on an absent instance that may return: ${primary.id} ${confirming.id}`,
    );

    primary.isDown = false;
    context.directory.register(registeredInstance(primary.id, GROUP));
    await sleep(CHANGE_MS);
    expect(promotions.targets).toEqual([primary.id]);
    expect(group.lost).toEqual([]);
    expect(context.metrics.render()).not.toInclude('step="unverified"');
  });

  it('reports what may be missing once every log that may have it is gone', async () => {
    await acknowledgeWrite(primary);
    restartWithoutLog(confirming);
    announceLeave(primary);
    primary.isDown = true;
    removeFromDirectory(primary);

    await replacePrimary();

    expect(promotions.targets).toEqual([confirming.id]);
    expect(context.metrics.render()).toInclude('step="unverified"');
  });

  it('reports it as well if the replica that confirmed had announced that it leaves', async () => {
    await acknowledgeWrite(primary);
    announceLeave(confirming);
    confirming.isDown = true;
    removeFromDirectory(confirming);
    announceLeave(primary);
    primary.isDown = true;
    removeFromDirectory(primary);

    await replacePrimary();

    expect(promotions.targets).toEqual([behind.id]);
    expect(context.metrics.render()).toInclude('step="unverified"');
  });

  it('promotes no instance that lacks the start of the term, if the primary before left during the change', async () => {
    await acknowledgeWrite(primary);
    primary.isDown = true;
    removeFromDirectory(primary);
    await replacePrimary();
    expect(promotions.targets).toEqual([confirming.id]);

    await replacePrimary();

    expect(group.lost).toEqual([]);
    expect(promotions.targets).toEqual([confirming.id, confirming.id]);
  });

  it('promotes no instance that lacks the start of the term, if another instance than the target was found to lead', async () => {
    await acknowledgeWrite(primary);
    const record: PrimaryRecord = {
      term: 1,
      primary: primary.id,
      phase: PrimaryPhase.Changing,
      orders: 2,
      target: primary.id,
      lastPosition: primary.position,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    primary.isDown = true;
    removeFromDirectory(primary);
    confirming.isPrimary = true;
    confirming.term = 3;
    await replacePrimary(PrimaryChangeReason.Unfinished);
    expect(view.record?.record.primary).toEqual(confirming.id);

    await replacePrimary();

    expect(group.lost).toEqual([]);
    expect(promotions.targets).toEqual([confirming.id]);
  });

  it('records the position at which the term of the next primary began', async () => {
    await acknowledgeWrite(primary);
    const {position} = primary;
    primary.isDown = true;
    await replacePrimary();
    expect(view.record?.record.initialPosition).toEqual(position);
  });
});
