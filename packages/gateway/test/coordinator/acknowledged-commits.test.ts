import type {LogPosition, PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, before, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {includesAcknowledged} from '../../src/core/coordinator/acknowledged-commits.js';
import type {
  AcknowledgedBound,
  PrimaryChangeContext,
  VersionedPrimaryRecord,
} from '../../src/index.js';
import {
  acknowledgedBound,
  DatabaseGroup,
  KNOWN_PROXY_PREFIX,
  knownProxyValue,
  REGISTRATION_MS,
  RELEASE_PREFIX,
  releaseValue,
  steadyNowMs,
} from '../../src/index.js';
import {GroupPromotions} from '../support/group-promotions.js';
import {MemoryGroup} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const OTHER = 'proxy-2';
const TARGET: LogPosition = {term: 1, position: 7};
const BEYOND: LogPosition = {term: 1, position: 8};

const CHANGING: PrimaryRecord = {
  term: 1,
  primary: 'ledger-0',
  phase: PrimaryPhase.Changing,
};

describe('includesAcknowledged', () => {
  let state: MemoryStoreState;
  let group: MemoryGroup;
  let view: DatabaseGroup;
  let context: PrimaryChangeContext;

  before(async () => {
    // A process that has just started does not know what it acknowledged before.
    while (steadyNowMs() < REGISTRATION_MS) await sleep(50);
  });

  beforeEach(() => {
    state = new MemoryStoreState();
    group = new MemoryGroup(GROUP, 3);
    view = new DatabaseGroup(GROUP);
    context = createPrimaryChangeContext({
      self: 'proxy-1',
      state,
      group,
      promotions: new GroupPromotions(group),
    });
    context.knownProxies.onPut(
      itemOf(KNOWN_PROXY_PREFIX + OTHER, knownProxyValue(0, 1)),
    );
  });

  afterEach(() => {
    context.control.closeAll();
    group.close();
    state.close();
  });

  function itemOf(
    key: string,
    value: string,
  ): {key: string; value: Buffer; revision: number; leaseId: number} {
    return {key, value: Buffer.from(value), revision: 1, leaseId: 0};
  }

  function release(acknowledged?: AcknowledgedBound): void {
    const value = releaseValue({revision: 5}, acknowledged);
    context.releases.onPut(itemOf(`${RELEASE_PREFIX}${GROUP}/${OTHER}`, value));
  }

  function includesAll(fields: Partial<PrimaryRecord> = {}): boolean {
    const known: VersionedPrimaryRecord = {
      record: {...CHANGING, ...fields},
      revision: 5,
    };
    return includesAcknowledged(context, view, known, TARGET);
  }

  it('holds if every proxy has acknowledged nothing beyond the position', () => {
    view.acknowledged.record(TARGET);
    release({position: TARGET});
    expect(includesAll()).toEqual(true);
    release({position: undefined});
    expect(includesAll()).toEqual(true);
  });

  it('does not hold if another proxy has acknowledged more', () => {
    release({position: BEYOND});
    expect(includesAll()).toEqual(false);
  });

  it('does not hold if this proxy has acknowledged more', () => {
    release({position: TARGET});
    view.acknowledged.record(BEYOND);
    expect(includesAll()).toEqual(false);
  });

  it('does not hold if a proxy has not released the primary', () => {
    expect(includesAll()).toEqual(false);
  });

  it('does not hold if a proxy does not know what it has acknowledged', () => {
    release();
    expect(includesAll()).toEqual(false);
  });

  it('does not hold if a proxy has stopped a moment ago', () => {
    release({position: TARGET});
    context.knownProxies.onDelete(`${KNOWN_PROXY_PREFIX}proxy-3`);
    expect(includesAll()).toEqual(false);
  });

  it('does not hold where proxies may acknowledge after their release', () => {
    release({position: TARGET});
    expect(includesAll({isPlanned: true})).toEqual(false);
    expect(includesAll({orders: 1})).toEqual(false);
  });

  describe('with what a process has acknowledged', () => {
    it('has the highest position', () => {
      view.acknowledged.record(BEYOND);
      view.acknowledged.record(TARGET);
      expect(acknowledgedBound(view)).toEqual({position: BEYOND});
    });

    it('is unknown once an answer had no position', () => {
      view.acknowledged.record(undefined);
      expect(acknowledgedBound(view)).toEqual(undefined);
    });
  });
});
