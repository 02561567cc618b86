import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {PrimaryChangeContext} from '../../src/index.js';
import {
  LatestConfiguration,
  ControlConnections,
  coordinatorKey,
  CoordinatorKey,
  CoordinatorTask,
  KNOWN_PROXY_PREFIX,
  knownProxyValue,
  KnownProxies,
  MEMBER_PREFIX,
  MemberList,
} from '../../src/index.js';
import {MemoryConnector} from '../support/memory-connector.js';
import {MemoryStore, MemoryStoreState} from '../support/memory-store.js';
import {createStoreWatchers} from '../support/store-watchers.js';

const SELF = 'proxy-0';

/** Longer than it takes to read all sections of the store, in milliseconds. */
const READ_MS = 1_500;

describe('a coordinator that no longer owns a group', () => {
  let state: MemoryStoreState;
  let store: MemoryStore;
  const log = createSilentLogger();

  beforeEach(() => {
    state = new MemoryStoreState();
    store = new MemoryStore(state);
  });

  afterEach(() => state.close());

  describe('while it could use the store relay of another proxy', () => {
    async function followsDirectory(isCoordinator: boolean): Promise<boolean> {
      const watchers = createStoreWatchers({
        store,
        isCoordinator: () => isCoordinator,
        ownsAnyGroup: () => false,
        isRelayUsed: () => true,
      });
      await watchers.start();
      await sleep(READ_MS);
      const isDirectoryCurrent = watchers.isDirectoryCurrent(-Infinity);
      await watchers.stop();
      return isDirectoryCurrent;
    }

    it('watches the store itself, so that it can replace primaries', async () => {
      expect(await followsDirectory(true)).toEqual(true);
    });

    it('does not watch the store itself once it is no longer the coordinator', async () => {
      expect(await followsDirectory(false)).toEqual(false);
    });
  });

  it('is the coordinator after its claim even before a watch event arrives', async () => {
    const leaseId = state.grantLease(60_000);
    const members = new MemberList(log);
    const knownProxies = new KnownProxies();
    const item = (key: string, value: string) => ({
      key,
      value: Buffer.from(value),
      revision: 1,
      leaseId: 0,
    });
    const value = knownProxyValue(store.generation, leaseId);
    knownProxies.onPut(item(KNOWN_PROXY_PREFIX + SELF, value));
    const record = {
      name: SELF,
      incarnation: 'first',
      availabilityZone: 'zone-0',
      peerAddress: '127.0.0.1:1',
      capacity: 1,
      suspects: [],
    };
    members.onPut(item(MEMBER_PREFIX + SELF, JSON.stringify(record)));
    const connector = new MemoryConnector(SELF, new Map());
    const context = {
      self: SELF,
      store,
      members,
      knownProxies,
      configuration: new LatestConfiguration(log),
      control: new ControlConnections(connector, log),
      log,
    } as Partial<PrimaryChangeContext> as PrimaryChangeContext;
    const coordinator = new CoordinatorTask({
      context,
      key: new CoordinatorKey(() => store.generation),
      lease: {leaseId} as never,
      holder: `${SELF}/first`,
      isConnected: () => true,
      isUpToDate: () => false,
      onRefreshNeeded: () => undefined,
    });
    await coordinator.start();
    while (!state.items.has(coordinatorKey(state.generation))) await sleep(5);
    await sleep(20);
    expect(coordinator.isCoordinator).toEqual(true);
    await coordinator.stop(0);
  });
});
