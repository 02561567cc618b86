import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  MEMBER_PREFIX,
  MemberList,
  MemberRegistrationTask,
} from '../../src/index.js';
import {LateStore} from '../support/late-store.js';
import {MemoryStoreState} from '../support/memory-store.js';

const SELF = 'proxy-0';
const GROUP = 'ledger';

/** Time limit for the task to publish a record, in milliseconds. */
const PUBLISHED_WITHIN_MS = 8_000;

describe('MemberRegistrationTask', () => {
  let state: MemoryStoreState;
  let store: LateStore;
  let members: MemberList;
  let task: MemberRegistrationTask;

  beforeEach(async () => {
    state = new MemoryStoreState();
    store = new LateStore(state);
    members = new MemberList(createSilentLogger());
    task = new MemberRegistrationTask({
      name: SELF,
      incarnation: 'first',
      availabilityZone: 'zone-a',
      peerAddress: () => '127.0.0.1:1',
      capacity: () => 1,
      ownsAny: () => true,
      onPublished: () => undefined,
      store,
      members,
      log: createSilentLogger(),
    });
    await task.start();
    await waitUntil(() => suspects() === '');
  });

  afterEach(async () => {
    store.unanswered = 0;
    store.losesAnswers = false;
    await task.stop(0);
    state.close();
  });

  /** Returns the groups that the record in the store names as suspected; undefined without a record. */
  function suspects(): string | undefined {
    const item = state.items.get(MEMBER_PREFIX + SELF);
    if (item === undefined) return undefined;
    members.onPut({...item, leaseId: 0});
    return members.find(SELF)?.suspects.join(' ');
  }

  /** Waits for a condition, up to a time limit. */
  async function waitUntil(condition: () => boolean): Promise<void> {
    const deadlineMs = performance.now() + PUBLISHED_WITHIN_MS;
    while (!condition() && performance.now() < deadlineMs) await sleep(5);
  }

  // Guards against a live record that hides a suspicion.
  it('publishes a suspicion although the store answers nothing that it executes', async () => {
    store.losesAnswers = true;
    task.publishSuspects([{group: GROUP, term: 1}]);
    await waitUntil(() => suspects() === GROUP);
    expect(suspects()).toEqual(GROUP);
  });

  // Guards against a member that leaves because it publishes more than it renews.
  it('stays listed while the store answers nothing that it executes', async () => {
    store.losesAnswers = true;
    task.publishSuspects([{group: GROUP, term: 1}]);
    let absences = 0;
    const endsAtMs = performance.now() + PUBLISHED_WITHIN_MS;
    while (performance.now() < endsAtMs) {
      if (suspects() === undefined) absences += 1;
      await sleep(5);
    }
    expect(absences).toEqual(0);
  });

  // Guards against a suspicion that is published again after it has ended.
  it('replaces a record that the store wrote late', async () => {
    store.unanswered = Infinity;
    task.publishSuspects([{group: GROUP, term: 1}]);
    await waitUntil(() => store.hasLate);
    store.unanswered = 0;
    task.publishSuspects([]);
    await sleep(100);
    await store.executeLate();
    expect(suspects()).toEqual(GROUP);
    await waitUntil(() => suspects() === '');
    expect(suspects()).toEqual('');
  });
});
