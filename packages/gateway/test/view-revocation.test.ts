import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {ChangeContext, VersionedPrimaryRecord} from '../src/index.js';
import {
  KNOWN_PROXY_PREFIX,
  KnownProxies,
  MEMBER_PREFIX,
  MemberList,
  RELEASE_PREFIX,
  PrimaryReleases,
  steadyNowMs,
  StoreWatcher,
  VIEW_VALIDITY_MS,
  ViewRevocation,
} from '../src/index.js';
import {MemoryStore, MemoryStoreState} from './support/memory-store.js';

const GROUP = 'ledger';
const SELF = 'proxy-0';
const OTHER = 'proxy-1';

/** How long something expected may take, in milliseconds. */
const EXPECTED_TIMEOUT_MS = 20_000;

/** Longer than views count and silent proxies are waited for, in milliseconds. */
const LONG_MS = VIEW_VALIDITY_MS + 500;

describe('ViewWithdrawal', () => {
  let state: MemoryStoreState;
  let store: MemoryStore;
  let follower: StoreWatcher;
  let context: ChangeContext;
  let withdrawal: ViewRevocation | undefined;
  let followedRevision: () => number;

  beforeEach(async () => {
    state = new MemoryStoreState();
    store = new MemoryStore(state);
    const log = createSilentLogger();
    const knownProxies = new KnownProxies();
    const members = new MemberList(log);
    const releases = new PrimaryReleases(SELF, store, undefined as never, log);
    follower = new StoreWatcher({
      store,
      listeners: [knownProxies, members, releases],
      watchedPrefix: 'sapphireglade/',
      watchWaitMs: () => 500,
      minimumIntervalMs: () => 0,
      shouldPoll: () => false,
      isPaused: () => false,
      log,
      onConfirmed: () => undefined,
    });
    await follower.start();
    followedRevision = () => follower.revision;
    context = {
      self: SELF,
      store,
      knownProxies,
      members,
      releases,
      log,
      followedRevision: () => followedRevision(),
    } as Partial<ChangeContext> as ChangeContext;
  });

  afterEach(async () => {
    withdrawal?.stop();
    await follower.stop(0);
    state.close();
  });

  /** Publishes the other proxy. */
  function publishOther(isLive: boolean): number {
    const lease = state.grantLease(60_000);
    state.put(KNOWN_PROXY_PREFIX + OTHER, String(lease));
    const member = {
      name: OTHER,
      incarnation: 'x',
      availabilityZone: 'zone-0',
      peerAddress: 'memory:5',
      capacity: 1,
      suspects: [],
    };
    if (isLive) state.put(MEMBER_PREFIX + OTHER, JSON.stringify(member), lease);
    return lease;
  }

  /** Writes the record that takes the primary out of use. */
  function announce(): VersionedPrimaryRecord {
    const record = {term: 1, primary: 'a', phase: PrimaryPhase.Changing};
    state.put('sapphireglade/primary/ledger', JSON.stringify(record));
    return {record, revision: state.revision};
  }

  function begin(known: VersionedPrimaryRecord): ViewRevocation {
    withdrawal = new ViewRevocation(context, GROUP, known);
    return withdrawal;
  }

  /** Lets the other proxy say that it has taken a record in. */
  function release({revision}: VersionedPrimaryRecord): void {
    state.put(`${RELEASE_PREFIX}${GROUP}/${OTHER}`, String(revision));
  }

  /** Waits for something that has to happen. */
  async function eventually(condition: () => boolean): Promise<void> {
    const limitMs = steadyNowMs() + EXPECTED_TIMEOUT_MS;
    while (!condition()) {
      if (steadyNowMs() > limitMs) throw new Error('It did not happen.');
      await sleep(5);
    }
  }

  /** The follower has taken in what the store holds. */
  function awaitNews(): Promise<void> {
    return eventually(() => follower.revision >= state.revision);
  }

  it('is complete at once if nobody else runs', async () => {
    const begun = begin(announce());
    await awaitNews();
    expect(begun.isComplete(steadyNowMs(), false)).toEqual(true);
  });

  it('is complete once the only other proxy has let go, whose lease stays', async () => {
    const lease = publishOther(true);
    const known = announce();
    await awaitNews();
    const begun = begin(known);
    expect(begun.isComplete(-Infinity, false)).toEqual(false);
    release(known);
    await awaitNews();
    expect(begun.isComplete(steadyNowMs(), false)).toEqual(true);
    expect(state.leases.has(lease)).toEqual(true);
  });

  it('ends the lease of a silent proxy, and then waits for its views', async () => {
    const lease = publishOther(true);
    const beganAtMs = steadyNowMs();
    const begun = begin(announce());
    await eventually(() => begun.isComplete(-Infinity, false));
    expect(steadyNowMs() - beganAtMs >= VIEW_VALIDITY_MS).toEqual(true);
    expect(state.leases.has(lease)).toEqual(false);
  });

  it('waits from the last hold, by which a proxy without the store is stopped', async () => {
    publishOther(false);
    const begun = begin(announce());
    await eventually(() => begun.isComplete(-Infinity, false));
    expect(begun.isComplete(steadyNowMs(), false)).toEqual(false);
  });

  it('ends the lease of a proxy that is not listed', async () => {
    const lease = publishOther(false);
    begin(announce());
    await eventually(() => !state.leases.has(lease));
  });

  it('waits although everybody has let go if another instance was ordered to lead', async () => {
    const begun = begin(announce());
    await awaitNews();
    expect(begun.isComplete(steadyNowMs(), true)).toEqual(false);
  });

  it('is not complete before it knows who was published before the record', async () => {
    const known = announce();
    followedRevision = () => known.revision - 1;
    const begun = begin(known);
    await sleep(LONG_MS);
    expect(begun.isComplete(-Infinity, false)).toEqual(false);
  });

  it('is not complete while the lease of a silent proxy cannot be ended', async () => {
    publishOther(true);
    const known = announce();
    await awaitNews();
    store.isPartitioned = true;
    const begun = begin(known);
    await sleep(LONG_MS);
    expect(begun.isComplete(-Infinity, false)).toEqual(false);
  });
});
