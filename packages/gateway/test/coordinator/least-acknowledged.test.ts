import type {LogPosition, PrimaryRecord} from '@sapphireglade/decisions';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {
  PrimaryChange,
  PrimaryChangeReason,
} from '../../src/core/coordinator/primary-change.js';
import type {
  PrimaryChangeContext,
  VersionedPrimaryRecord,
} from '../../src/index.js';
import {
  DatabaseGroup,
  KNOWN_PROXY_PREFIX,
  knownProxyValue,
  primaryRecordKey,
  REGISTRATION_MS,
  RELEASE_PREFIX,
  releaseValue,
} from '../../src/index.js';
import {ChangingGroup} from '../support/changing-group.js';
import {GroupPromotions} from '../support/group-promotions.js';
import type {MemoryInstance} from '../support/memory-group.js';
import {MemoryStoreState} from '../support/memory-store.js';
import {createPrimaryChangeContext} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const SELF = 'proxy-1';
const OTHER = 'proxy-2';
const RELEASE_KEY = `${RELEASE_PREFIX}${GROUP}/${OTHER}`;
const KNOWN_KEY = KNOWN_PROXY_PREFIX + OTHER;

/** What every replica has received. */
const RECEIVED: LogPosition = {term: 1, position: 1};

/** The next commit, which only an instance confirmed that is not listed. */
const CONFIRMED: LogPosition = {term: 1, position: 2};

/** Longer than a change waits for late entries, in milliseconds. */
const CUT_MS = REGISTRATION_MS + 2_000;

/** Time in which a change announces itself and asks the replicas, in milliseconds. */
const SURVEY_MS = 300;

describe('a change of primary beside a commit that is certainly missing on the replicas', () => {
  let state: MemoryStoreState;
  let group: ChangingGroup;
  let view: DatabaseGroup;
  let context: PrimaryChangeContext;
  let coordinators: string[];
  let old: MemoryInstance;

  beforeEach(async () => {
    state = new MemoryStoreState();
    group = new ChangingGroup(GROUP, 3);
    old = group.instances[0]!;
    view = new DatabaseGroup(GROUP);
    coordinators = [SELF, OTHER];
    context = createContext(SELF, view);
    const record: PrimaryRecord = {
      term: 1,
      primary: old.id,
      phase: PrimaryPhase.Steady,
    };
    state.put(primaryRecordKey(GROUP), JSON.stringify(record));
    view.applyRecord({record, revision: state.revision});
    await group.commit(old, 'received');
    // Joins after the list was read, and cannot reach the store.
    group.join();
    for (const {id} of group.instances.slice(1, 3)) group.partition(old.id, id);
    await group.commit(old, 'confirmed');
    group.acknowledged.set('confirmed', {
      atMs: performance.now(),
      position: CONFIRMED,
    });
    group.partition(SELF, old.id);
  });

  afterEach(() => {
    coordinators = [];
    context.control.closeAll();
    group.close();
    state.close();
  });

  function createContext(
    self: string,
    groupView: DatabaseGroup,
    isOldListed = true,
  ): PrimaryChangeContext {
    return createPrimaryChangeContext({
      self,
      state,
      group,
      promotions: new GroupPromotions(group),
      view: groupView,
      registered: group.instances.slice(isOldListed ? 0 : 1, 3),
      isCoordinating: () => coordinators.includes(self),
      returnWithinMs: () => (isOldListed ? CUT_MS : 0),
    });
  }

  function run(): Promise<void> {
    return new PrimaryChange(context, view, PrimaryChangeReason.Unusable).run();
  }

  /** Lets another proxy run, which has acknowledged the commit. */
  function addProxy(): void {
    const value = Buffer.from(knownProxyValue(0, 1));
    context.knownProxies.onPut({
      key: KNOWN_KEY,
      value,
      revision: state.revision,
      leaseId: 1,
    });
    view.records$.subscribe(({record, revision}: VersionedPrimaryRecord) => {
      if (record.phase !== PrimaryPhase.Changing) return;
      const bound = {position: CONFIRMED};
      context.releases.onPut({
        key: RELEASE_KEY,
        value: Buffer.from(releaseValue({revision}, bound, CONFIRMED)),
        revision,
        leaseId: 1,
      });
    });
  }

  /** Lets the old primary answer after a while, and waits for the end of the change. */
  async function reconnectLate(change: Promise<void>): Promise<void> {
    await sleep(CUT_MS);
    expect(leader()).toEqual(old.id);
    group.reconnect(SELF, old.id);
    await change;
  }

  it('waits for the old primary if the release of another proxy tells of the commit', async () => {
    addProxy();
    await reconnectLate(run());
    expect(group.lost).toEqual([]);
    expect(group.missingAt(group.find(leader()))).toEqual([]);
  });

  it('remembers a release that goes with its proxy while the change waits', async () => {
    addProxy();
    const change = run();
    await sleep(SURVEY_MS);
    context.releases.onDelete(RELEASE_KEY);
    context.knownProxies.onDelete(KNOWN_KEY);
    await reconnectLate(change);
    expect(group.lost).toEqual([]);
  });

  it('does not wait for entries that nobody is known to have confirmed', async () => {
    view.acknowledged.record(RECEIVED, {term: 1, position: 0});
    // The end of the log, with entries of other proxies.
    view.acknowledged.record({term: 1, position: 9}, {term: 1, position: 0});
    await run();
    expect(leader()).not.toEqual(old.id);
  });

  it('promotes the best replica as unverified if no log with the commit can return', async () => {
    context.control.closeAll();
    context = createContext(SELF, view, false);
    view.acknowledged.record(CONFIRMED, RECEIVED);
    await run();
    expect(leader()).not.toEqual(old.id);
    expect(context.metrics.render()).toInclude('step="unverified"');
  });

  it('tells the next coordinator by its record', async () => {
    view.acknowledged.record(CONFIRMED, RECEIVED);
    const change = run().catch(() => undefined);
    await sleep(SURVEY_MS);
    coordinators = [OTHER];
    await change;
    context.control.closeAll();
    const stored = view.storedRecord!;
    expect(stored.record.confirmers?.departedPosition).toEqual(CONFIRMED);

    view = new DatabaseGroup(GROUP);
    context = createContext(OTHER, view);
    view.applyRecord(stored);
    group.partition(OTHER, old.id);
    const next = new PrimaryChange(
      context,
      view,
      PrimaryChangeReason.Unfinished,
    ).run();
    await sleep(CUT_MS);
    expect(leader()).toEqual(old.id);
    group.reconnect(OTHER, old.id);
    await next;
    expect(group.lost).toEqual([]);
  });

  function leader(): string {
    return view.storedRecord?.record.primary ?? '';
  }
});
