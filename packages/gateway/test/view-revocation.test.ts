import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {PrimaryPhase} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {
  PrimaryChangeContext,
  VersionedPrimaryRecord,
} from '../src/index.js';
import {
  KNOWN_PROXY_PREFIX,
  knownProxyValue,
  KnownProxies,
  MEMBER_PREFIX,
  MemberList,
  RELEASE_PREFIX,
  releaseValue,
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

/** Maximum time to wait for an expected condition, in milliseconds. */
const EXPECTED_TIMEOUT_MS = 20_000;

/**
 * Longer than the validity of a view plus the grace period of releases, in
 * milliseconds.
 */
const LONG_MS = VIEW_VALIDITY_MS + 500;

describe('ViewRevocation', () => {
  let state: MemoryStoreState;
  let store: MemoryStore;
  let watcher: StoreWatcher;
  let context: PrimaryChangeContext;
  let revocation: ViewRevocation | undefined;
  let followedRevision: () => number;

  beforeEach(async () => {
    state = new MemoryStoreState();
    store = new MemoryStore(state);
    const log = createSilentLogger();
    const knownProxies = new KnownProxies(() => store.generation);
    const members = new MemberList(log);
    const releases = new PrimaryReleases(SELF, store, undefined as never, log);
    watcher = new StoreWatcher({
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
    await watcher.start();
    followedRevision = () => watcher.revision;
    context = {
      self: SELF,
      store,
      knownProxies,
      members,
      releases,
      log,
      followedRevision: () => followedRevision(),
    } as Partial<PrimaryChangeContext> as PrimaryChangeContext;
  });

  afterEach(async () => {
    revocation?.stop();
    await watcher.stop(0);
    state.close();
  });

  /** Publishes the keys of the other proxy and returns its lease. */
  function publishOther(isLive: boolean): number {
    const lease = state.grantLease(60_000);
    state.put(
      KNOWN_PROXY_PREFIX + OTHER,
      knownProxyValue(state.generation, lease),
    );
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
    return {record, revision: state.revision, generation: state.generation};
  }

  function begin(known: VersionedPrimaryRecord): ViewRevocation {
    revocation = new ViewRevocation(context, GROUP, known);
    return revocation;
  }

  /** Publishes the release of a record by the other proxy. */
  function release(known: VersionedPrimaryRecord): void {
    state.put(`${RELEASE_PREFIX}${GROUP}/${OTHER}`, releaseValue(known));
  }

  /** Waits until a condition holds. */
  async function eventually(condition: () => boolean): Promise<void> {
    const limitMs = steadyNowMs() + EXPECTED_TIMEOUT_MS;
    while (!condition()) {
      if (steadyNowMs() > limitMs)
        throw new Error('The condition did not hold in time.');
      await sleep(5);
    }
  }

  /** Waits until the watcher has received everything that the store holds. */
  function awaitSync(): Promise<void> {
    return eventually(() => watcher.revision >= state.revision);
  }

  it('is complete immediately if no other proxy runs', async () => {
    const begun = begin(announce());
    await awaitSync();
    expect(begun.completeSinceMs(steadyNowMs(), false) !== undefined).toEqual(
      true,
    );
  });

  it('is complete once the only other proxy has released the primary, and keeps its lease', async () => {
    const lease = publishOther(true);
    const known = announce();
    await awaitSync();
    const begun = begin(known);
    expect(begun.completeSinceMs(-Infinity, false) !== undefined).toEqual(
      false,
    );
    release(known);
    await awaitSync();
    expect(begun.completeSinceMs(steadyNowMs(), false) !== undefined).toEqual(
      true,
    );
    expect(state.leases.has(lease)).toEqual(true);
  });

  it('revokes the lease of a proxy without a release, and then waits for its views to expire', async () => {
    const lease = publishOther(true);
    const beganAtMs = steadyNowMs();
    const begun = begin(announce());
    await eventually(
      () => begun.completeSinceMs(-Infinity, false) !== undefined,
    );
    expect(steadyNowMs() - beganAtMs >= VIEW_VALIDITY_MS).toEqual(true);
    expect(state.leases.has(lease)).toEqual(false);
  });

  it('counts the wait from the last hold, which stops a proxy without access to the store', async () => {
    publishOther(false);
    const begun = begin(announce());
    await eventually(
      () => begun.completeSinceMs(-Infinity, false) !== undefined,
    );
    expect(begun.completeSinceMs(steadyNowMs(), false) !== undefined).toEqual(
      false,
    );
  });

  it('revokes the lease of a proxy that is not a live member', async () => {
    const lease = publishOther(false);
    begin(announce());
    await eventually(() => !state.leases.has(lease));
  });

  it('waits in spite of all releases if another instance was ordered to lead', async () => {
    const begun = begin(announce());
    await awaitSync();
    expect(begun.completeSinceMs(steadyNowMs(), true) !== undefined).toEqual(
      false,
    );
  });

  it('is not complete before it has received the keys published before the record', async () => {
    const known = announce();
    followedRevision = () => known.revision - 1;
    const begun = begin(known);
    await sleep(LONG_MS);
    expect(begun.completeSinceMs(-Infinity, false) !== undefined).toEqual(
      false,
    );
  });

  it('is not complete while the lease of a proxy without a release cannot be revoked', async () => {
    publishOther(true);
    const known = announce();
    await awaitSync();
    store.isPartitioned = true;
    const begun = begin(known);
    await sleep(LONG_MS);
    expect(begun.completeSinceMs(-Infinity, false) !== undefined).toEqual(
      false,
    );
  });
});
