import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import type {LogFields} from '@sapphireglade/runtime';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {recordConfirmers} from '../../src/core/coordinator/record-confirmers.js';
import {steadyNowMs} from '../../src/core/time/index.js';
import type {PrimaryChangeContext} from '../../src/index.js';
import {DatabaseGroup, primaryRecordKey} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {
  createPrimaryChangeContext,
  registeredInstance,
} from '../support/primary-change-context.js';

const GROUP = 'ledger';

describe('the log of the instances that may have confirmed commits', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let context: PrimaryChangeContext;
  let view: DatabaseGroup;
  let primary: MemoryInstance;
  let first: MemoryInstance;
  let second: MemoryInstance;
  let lines: LogFields[];

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    [primary, first, second] = group.instances as [
      MemoryInstance,
      MemoryInstance,
      MemoryInstance,
    ];
    view = new DatabaseGroup(GROUP);
    lines = [];
    context = createPrimaryChangeContext({
      self: 'proxy-1',
      state,
      group,
      promotions: new GroupPromotions(group),
      view,
      log: {
        ...createSilentLogger(),
        info: (message, fields = {}) => {
          if (message.startsWith('The instances that may')) lines.push(fields);
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
    await recordConfirmers(context, view);
    lines.length = 0;
  });

  afterEach(() => {
    context.control.closeAll();
    group.close();
    state.close();
  });

  it('names an instance that joined', async () => {
    context.directory.register(registeredInstance('instance-new', GROUP));
    await recordConfirmers(context, view);
    expect(lines).toEqual([
      {
        group: GROUP,
        term: 1,
        instances: [first.id, second.id, 'instance-new'].sort().join(' '),
        added: 'instance-new',
        removed: '',
        departed: '',
        departedPosition: undefined,
      },
    ]);
  });

  it('names an instance that started again, once for each incarnation', async () => {
    const registration = registeredInstance(first.id, GROUP);
    context.directory.register({...registration, bornAtMs: 2});
    await recordConfirmers(context, view);
    expect(lines[0]?.['added']).toEqual(first.id);
    expect(lines[0]?.['removed']).toEqual('');
    expect(lines[0]?.['departed']).toEqual(first.id);
  });

  it('names an instance that was bounded after it left, and the position', async () => {
    await group.commit(primary, 'write');
    first.isDown = true;
    context.directory.markMissing(first.id);
    context.directory.removeMissing(steadyNowMs() + 60_000, false);
    await context.departures.boundDepartures(view);
    await recordConfirmers(context, view);
    expect(lines[0]?.['added']).toEqual('');
    expect(lines[0]?.['removed']).toEqual(first.id);
    expect(lines[0]?.['departedPosition']).toEqual('1.1');
  });
});
