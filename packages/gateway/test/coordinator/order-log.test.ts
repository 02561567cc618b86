import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import type {LogFields} from '@sapphireglade/runtime';
import {createSilentLogger} from '@sapphireglade/runtime';
import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {OrderLog} from '../../src/core/coordinator/order-log.js';
import {
  PrimaryChange,
  PrimaryChangeReason,
} from '../../src/core/coordinator/primary-change.js';
import {
  DatabaseGroup,
  InstanceDirectory,
  OrderHistory,
  primaryRecordKey,
  PromotionResult,
  readClocks,
} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {
  createPrimaryChangeContext,
  registeredInstance,
} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const MESSAGE = 'A promotion is being ordered.';

const CHANGING: PrimaryRecord = {
  term: 1,
  primary: 'ledger-0',
  phase: PrimaryPhase.Changing,
};

describe('the log of an order to promote', () => {
  let directory: InstanceDirectory;
  let group: DatabaseGroup;
  let orderHistory: OrderHistory;
  let heldIncarnations: Set<string>;
  let lines: LogFields[];
  let orderLog: OrderLog;
  let revision: number;
  const held = {
    isHeld: ({id, bornAtMs}: {id: string; bornAtMs: number | undefined}) =>
      heldIncarnations.has(`${id}#${bornAtMs}`),
    lastConfirmation: {
      asked: ['ledger-1', 'ledger-2'],
      answered: ['ledger-1'],
    },
  };

  beforeEach(() => {
    lines = [];
    revision = 0;
    heldIncarnations = new Set(['ledger-1#1', 'ledger-2#1']);
    const log = {
      ...createSilentLogger(),
      info: (message: string, fields: LogFields = {}) => {
        if (message === MESSAGE) lines.push(fields);
      },
    };
    directory = new InstanceDirectory(createSilentLogger());
    for (const id of ['ledger-1', 'ledger-2'])
      directory.register(registeredInstance(id, GROUP));
    group = new DatabaseGroup(GROUP);
    orderHistory = new OrderHistory({onGroup: listener => listener(group)});
    orderLog = new OrderLog({directory, log, orderHistory}, GROUP, held);
    orderLog.onChoice();
  });

  /** Applies a record and returns the token of an order that it names. */
  function applyRecord(record: PrimaryRecord): number {
    revision += 1;
    group.applyRecord({record, revision});
    return revision;
  }

  function applyOrder(target: string): number {
    return applyRecord({...CHANGING, target});
  }

  function logOrder(token = 0): LogFields {
    orderLog.onSending({target: 'ledger-1', token});
    return lines.at(-1) ?? {};
  }

  /** Returns the orders of a line without their ages. */
  function otherOrders(token?: number): string {
    return String(logOrder(token)['otherOrders']).replace(/\+\d+ms/g, '');
  }

  it('names an instance that joined after the choice', () => {
    directory.register({...registeredInstance('ledger-9', GROUP), bornAtMs: 7});
    expect(logOrder()).toHaveSubset({
      instances: 'ledger-1#1,held ledger-2#1,held ledger-9#7',
      instancesAtChoice: 'ledger-1#1,held ledger-2#1,held',
    });
  });

  it('names a held instance that restarted after the choice', () => {
    directory.register({...registeredInstance('ledger-2', GROUP), bornAtMs: 8});
    expect(logOrder()['instances']).toEqual('ledger-1#1,held ledger-2#8');
  });

  it('names an instance whose entry is missing or that leaves', () => {
    directory.markMissing('ledger-1');
    directory.register({
      ...registeredInstance('ledger-2', GROUP),
      isLeaving: true,
    });
    expect(logOrder()['instances']).toEqual(
      'ledger-1#1,held,missing ledger-2#1,held,leaving',
    );
  });

  it('names who was silent when the holds were confirmed', () => {
    expect(logOrder()).toHaveSubset({
      confirmed: 'ledger-1',
      silent: 'ledger-2',
    });
  });

  it('has the ages of the choice and of the directory', () => {
    expect(logOrder()['directoryAgeMs']).toEqual(undefined);
    directory.confirm(readClocks());
    expect(typeof logOrder()['directoryAgeMs']).toEqual('number');
    expect(typeof logOrder()['choiceAgeMs']).toEqual('number');
  });

  describe('with earlier orders', () => {
    it('names one that another one superseded, but not itself', () => {
      const first = applyOrder('ledger-2');
      const second = applyOrder('ledger-1');
      expect(otherOrders(second)).toEqual(`ledger-2#${first}`);
    });

    it('names one of another coordinator that the record carries', () => {
      applyRecord({
        ...CHANGING,
        outstandingOrder: {target: 'ledger-2', token: 900},
      });
      expect(otherOrders()).toEqual('ledger-2#900');
    });

    it('does not name one that was refused', () => {
      const token = applyOrder('ledger-2');
      const order = {target: 'ledger-2', token};
      orderLog.onAnswered(order, PromotionResult.NotSent, 0);
      expect(otherOrders()).toEqual('');
    });

    it('does not name one that took effect, but the one before it for the same instance', () => {
      const first = applyOrder('ledger-2');
      applyOrder('ledger-2');
      const steady = {term: 2, primary: 'ledger-2', phase: PrimaryPhase.Steady};
      applyRecord(steady);
      applyRecord(steady);
      expect(otherOrders()).toEqual(`ledger-2#${first}`);
    });

    it('names one whose instance was not recorded', () => {
      const token = applyOrder('ledger-2');
      applyRecord({term: 2, primary: 'ledger-1', phase: PrimaryPhase.Steady});
      expect(otherOrders()).toEqual(`ledger-2#${token}`);
    });
  });

  it('is written by a change before the order is sent', async () => {
    const state = new MemoryStoreState();
    const memoryGroup = new MemoryGroup(GROUP, 3);
    const events: string[] = [];
    class ObservedPromotions extends GroupPromotions {
      protected override onOrdered(): void {
        events.push('sent');
      }
    }
    const view = new DatabaseGroup(GROUP);
    const context = createPrimaryChangeContext({
      self: 'proxy-1',
      state,
      group: memoryGroup,
      view,
      promotions: new ObservedPromotions(memoryGroup),
      log: {
        ...createSilentLogger(),
        info: (message, fields = {}) => {
          if (message !== MESSAGE) return;
          events.push('logged');
          lines.push(fields);
        },
      },
    });
    const record = {term: 1, primary: 'ledger-0', phase: PrimaryPhase.Steady};
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    memoryGroup.instances[0]!.isDown = true;
    try {
      const reason = PrimaryChangeReason.Unusable;
      await new PrimaryChange(context, view, reason).run();
    } finally {
      context.control.closeAll();
      memoryGroup.close();
      state.close();
    }
    expect(events).toEqual(['logged', 'sent']);
    expect(lines[0]).toHaveSubset({
      instances: 'ledger-0#1 ledger-1#1,held ledger-2#1,held',
      instancesAtChoice: 'ledger-0#1 ledger-1#1,held ledger-2#1,held',
      confirmed: 'ledger-1 ledger-2',
      silent: 'ledger-0',
      otherOrders: '',
    });
  });
});
