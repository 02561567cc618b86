import type {PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {PrimaryChangeContext} from '../../src/index.js';
import {
  CoordinatorKey,
  CoordinatorTask,
  coordinatorKey,
  DatabaseGroup,
  MEMBER_PREFIX,
  primaryRecordKey,
} from '../../src/index.js';
import {ChangingGroup} from '../support/changing-group.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const SELF = 'proxy-0';
const OWNERS = [SELF, 'proxy-1'];

/** Term of the recorded primary, and of the one before it. */
const TERM = 2;
const FORMER_TERM = 1;

/** Long enough for several checks of the coordinator, in milliseconds. */
const SEVERAL_CHECKS_MS = 600;

describe('a coordinator whose proxies publish suspicions', () => {
  let state: MemoryStoreState;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let promotions: GroupPromotions;
  let context: PrimaryChangeContext;
  let coordinator: CoordinatorTask;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new ChangingGroup(GROUP, 3);
    const [, primary] = group.instances as [MemoryInstance, MemoryInstance];
    view = new DatabaseGroup(GROUP);
    promotions = new GroupPromotions(group);
    context = createPrimaryChangeContext({
      self: SELF,
      state,
      group,
      promotions,
      view,
    });
    group.promote(primary.id, TERM);
    while (!primary.isPrimary) await sleep(5);
    const record: PrimaryRecord = {
      term: TERM,
      primary: primary.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    const key = new CoordinatorKey(() => state.generation);
    const name = coordinatorKey(state.generation);
    key.onPut({...state.items.get(name)!, leaseId: 0});
    coordinator = new CoordinatorTask({
      context: {
        ...context,
        groups: {getOrCreate: () => view} as never,
        ownersOf: () => OWNERS,
      },
      key,
      lease: {leaseId: undefined} as never,
      holder: SELF,
      isConnected: () => true,
      isUpToDate: () => true,
      onRefreshNeeded: () => undefined,
    });
  });

  afterEach(async () => {
    await coordinator.stop(0);
    context.control.closeAll();
    group.close();
    state.close();
  });

  /** Lets every owner publish that it cannot use the primary. */
  function suspect(suspectedTerms?: readonly number[]): void {
    for (const name of OWNERS) {
      const record = {
        name,
        incarnation: 'first',
        availabilityZone: 'zone-0',
        peerAddress: '127.0.0.1:1',
        capacity: 1,
        suspects: [GROUP],
        suspectedTerms,
      };
      context.members.onPut({
        key: MEMBER_PREFIX + name,
        value: Buffer.from(JSON.stringify(record)),
        revision: state.revision,
        leaseId: 0,
      });
    }
  }

  /** Returns whether the coordinator orders another instance to lead. */
  async function isReplaced(): Promise<boolean> {
    await coordinator.start();
    await sleep(SEVERAL_CHECKS_MS);
    return promotions.targets.length > 0;
  }

  // Guards against a second change of primary right after the first one.
  it('keeps a primary whose predecessor they suspect', async () => {
    suspect([FORMER_TERM]);
    expect(await isReplaced()).toEqual(false);
    expect(view.storedRecord?.record.phase).toEqual(PrimaryPhase.Steady);
  });

  it('replaces a primary that they suspect', async () => {
    suspect([TERM]);
    expect(await isReplaced()).toEqual(true);
  });

  it('replaces a recorded primary if they suspect a later one', async () => {
    suspect([TERM + 1]);
    expect(await isReplaced()).toEqual(true);
  });

  it('replaces a primary if they do not tell which one they suspect', async () => {
    suspect();
    expect(await isReplaced()).toEqual(true);
  });
});
