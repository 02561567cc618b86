import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import type {LogFields} from '@sapphireglade/runtime';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChangeReason,
  PrimaryChange,
} from '../../src/core/coordinator/primary-change.js';
import {readClocks, steadyNowMs} from '../../src/core/time/index.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {DatabaseGroup, primaryRecordKey} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';
const MESSAGE = 'The choice of the next primary was evaluated.';

/** Long enough for several attempts to reach the instances, in milliseconds. */
const SEVERAL_ATTEMPTS_MS = 2_000;

describe('the log of a change of primary', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let context: PrimaryChangeContext;
  let primary: MemoryInstance;
  let confirming: MemoryInstance;
  let behind: MemoryInstance;
  let view: DatabaseGroup;
  let isCoordinating: boolean;
  let choices: LogFields[];

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    [primary, confirming, behind] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    view = new DatabaseGroup(GROUP);
    isCoordinating = true;
    choices = [];
    context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions: new GroupPromotions(group),
      view,
      isCoordinating: () => isCoordinating,
      log: {
        ...createSilentLogger(),
        info: (message, fields = {}) => {
          if (message === MESSAGE) choices.push(fields);
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
    group.partition(primary.id, behind.id);
    await group.commit(primary, 'write');
    primary.isDown = true;
  });

  afterEach(() => {
    isCoordinating = false;
    context.control.closeAll();
    group.close();
    state.close();
  });

  function removeFromDirectory({id}: MemoryInstance): void {
    const {directory} = context;
    directory.markMissing(id);
    directory.removeMissing(steadyNowMs() + 60_000, false);
  }

  /** Starts a change and waits for a limited time. */
  async function replacePrimary(): Promise<void> {
    const change = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unusable,
    ).run();
    await Promise.race([
      change.catch(() => undefined),
      sleep(SEVERAL_ATTEMPTS_MS),
    ]);
  }

  it('names what each instance reported and the target that follows', async () => {
    await replacePrimary();
    expect(choices).toEqual([
      {
        group: GROUP,
        choice: 'promote',
        target: confirming.id,
        unproved: undefined,
        reports: `${confirming.id}@1.1,term=1,heldTerm=2 ${behind.id}@1.0,term=1,heldTerm=2`,
        silent: '',
        oldPrimary: 'silent',
        minimumPosition: '1.1',
        unverifiedDepartures: '',
        wasPromotionOrdered: false,
        term: 1,
        initialPosition: undefined,
        departures: '',
        recordedConfirmers: `${confirming.id} ${behind.id}`,
        recordedDepartedPosition: undefined,
        directoryAgeMs: undefined,
        coordinatorForMs: undefined,
      },
    ]);
  });

  it('names the position by which a departure was bounded', async () => {
    primary.isDown = false;
    confirming.isDown = true;
    removeFromDirectory(confirming);
    await context.departures.boundDepartures(view);
    primary.isDown = true;
    await replacePrimary();
    expect(choices[0]?.['departures']).toEqual(`${confirming.id}@1.1`);
    expect(choices[0]?.['recordedDepartedPosition']).toEqual('1.1');
    expect(choices[0]?.['unverifiedDepartures']).toEqual('');
  });

  it('names departures that nothing bounds', async () => {
    removeFromDirectory(confirming);
    await context.departures.boundDepartures(view);
    await replacePrimary();
    expect(choices[0]?.['departures']).toEqual(`${confirming.id}@unbounded`);
    expect(choices[0]?.['recordedDepartedPosition']).toEqual(undefined);
  });

  it('tells how old the directory is and how long the role is held', async () => {
    context = {...context, coordinatorForMs: () => 1_234.4};
    context.directory.confirm(readClocks());
    await replacePrimary();
    expect(typeof choices[0]?.['directoryAgeMs']).toEqual('number');
    expect(choices[0]?.['coordinatorForMs']).toEqual(1_234);
  });

  it('has one line for each change of the inputs, not for each attempt', async () => {
    confirming.isDown = true;
    await replacePrimary();
    expect(choices.map(({choice, silent}) => ({choice, silent}))).toEqual([
      {choice: 'wait', silent: confirming.id},
    ]);

    removeFromDirectory(confirming);
    await sleep(SEVERAL_ATTEMPTS_MS);
    expect(choices.length).toEqual(2);
    expect(choices[1]?.['silent']).toEqual('');
    expect(choices[1]?.['unverifiedDepartures']).toEqual(confirming.id);
  });
});
