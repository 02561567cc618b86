import type {PrimaryRecord, ReplicationReport} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import type {LogFields} from '@sapphireglade/runtime';
import {createSilentLogger} from '@sapphireglade/runtime';
import {beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {ViewVerificationLog} from '../../src/core/primary-health/view-verification-log.js';
import {
  DatabaseGroup,
  InstancePool,
  readClocks,
  ViewVerificationTask,
} from '../../src/index.js';
import {MemoryConnector} from '../support/memory-connector.js';
import {MemoryGroup} from '../support/memory-group.js';
import {registeredInstance} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const MESSAGE = 'The view of a primary is verified without the store.';

/** Interval between two checks of a condition, in milliseconds. */
const POLL_INTERVAL_MS = 5;

const STEADY: PrimaryRecord = {
  term: 1,
  primary: `${GROUP}-0`,
  phase: PrimaryPhase.Steady,
};

describe('the log of verified views', () => {
  let memoryGroup: MemoryGroup;
  let group: DatabaseGroup;
  let lines: LogFields[];
  const log = {
    ...createSilentLogger(),
    info: (message: string, fields: LogFields = {}) => {
      if (message === MESSAGE) lines.push(fields);
    },
  };

  beforeEach(() => {
    lines = [];
    memoryGroup = new MemoryGroup(GROUP, 3);
    const connector = new MemoryConnector(
      'proxy',
      new Map([[GROUP, memoryGroup]]),
    );
    group = new DatabaseGroup(GROUP);
    for (const {id} of memoryGroup.instances) {
      const instance = registeredInstance(id, GROUP);
      const pool = new InstancePool(instance, connector, createSilentLogger());
      pool.setShare(1);
      group.addMember(instance, pool);
      pool.maintain();
    }
    group.applyRecord({record: STEADY, revision: 1});
    group.confirmRecord(readClocks());
  });

  function reportOf(id: string): ReplicationReport {
    return {
      id,
      isPrimary: false,
      term: 1,
      heldTerm: 0,
      received: {term: 1, position: 3},
    } as ReplicationReport;
  }

  it('names the replica and its incarnation once', () => {
    const verifications = new ViewVerificationLog(log);
    verifications.record(group, STEADY, reportOf('ledger-1'));
    verifications.record(group, STEADY, reportOf('ledger-1'));
    expect(lines).toHaveLength(1);
    expect(lines[0]).toHaveSubset({
      primary: 'ledger-0',
      replica: 'ledger-1',
      bornAtMs: 1,
      received: '1.3',
      heldTerm: 0,
      isViewValid: true,
    });
  });

  it('has another line for another replica, incarnation or term', () => {
    const verifications = new ViewVerificationLog(log);
    verifications.record(group, STEADY, reportOf('ledger-1'));
    verifications.record(group, STEADY, reportOf('ledger-2'));
    const restarted = {...registeredInstance('ledger-2', GROUP), bornAtMs: 9};
    group.updateMember(restarted);
    verifications.record(group, STEADY, reportOf('ledger-2'));
    verifications.record(group, {...STEADY, term: 2}, reportOf('ledger-2'));
    expect(
      lines.map(({replica, bornAtMs, term}) => [replica, bornAtMs, term]),
    ).toEqual([
      ['ledger-1', 1, 1],
      ['ledger-2', 1, 1],
      ['ledger-2', 9, 1],
      ['ledger-2', 9, 2],
    ]);
  });

  it('names the replica again after the store has confirmed the views', () => {
    const verifications = new ViewVerificationLog(log);
    verifications.record(group, STEADY, reportOf('ledger-1'));
    verifications.clear();
    verifications.record(group, STEADY, reportOf('ledger-1'));
    expect(lines).toHaveLength(2);
  });

  it('is written while the store does not confirm the view', async () => {
    const groups = {owned: [group]} as never;
    const members = [...group.members.values()];
    while (members.some(({pool}) => pool.connections === 0))
      await sleep(POLL_INTERVAL_MS);
    // Instances verify a view that were connected before the store confirmed it.
    group.confirmRecord(readClocks());
    const task = new ViewVerificationTask(groups, 'east', () => 'east', log);
    await task.start();
    try {
      while (lines.length === 0) await sleep(POLL_INTERVAL_MS);
    } finally {
      await task.stop(0);
      for (const {pool} of group.members.values()) pool.close('over');
      memoryGroup.close();
    }
    expect(lines[0]).toHaveSubset({primary: 'ledger-0', replica: 'ledger-1'});
  });
});
