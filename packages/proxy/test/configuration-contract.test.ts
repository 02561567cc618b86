import {describe, it} from 'node:test';
import type {AcceptanceResult, Resource} from '@sapphireglade/decisions';
import {delegateLeaseKey, HEAD_KEY} from '@sapphireglade/decisions';
import {expect} from 'earl';
import {
  ChangeAcceptor,
  LatestConfiguration,
  DelegateElection,
  StoreConfigurationReader,
  MembershipTracker,
} from '../src/index.js';
import type {StoreCall} from './support/in-memory-store.js';
import {InMemoryStore, StoreFault} from './support/in-memory-store.js';
import {createTestContext} from './support/test-context.js';

const TIMEOUT_MS = 400;
const PROMOTION: Resource = {kind: 'promotion', name: 'ledger', target: 'one'};

describe('acceptance of a change at the store', () => {
  const cases: {
    name: string;
    call: StoreCall;
    faults: StoreFault[];
    kind: AcceptanceResult['kind'];
    revision: number;
  }[] = [
    {
      name: 'without faults',
      call: 'get',
      faults: [],
      kind: 'accepted',
      revision: 1,
    },
    {
      name: 'when the head cannot be read at first',
      call: 'get',
      faults: [StoreFault.LostResponse, StoreFault.Refused],
      kind: 'accepted',
      revision: 1,
    },
    {
      name: 'when the answer to the body is lost',
      call: 'swap',
      faults: [StoreFault.LostResponse],
      kind: 'accepted',
      revision: 1,
    },
    {
      name: 'when the answers to body and head are lost',
      call: 'swap',
      faults: [StoreFault.LostResponse, StoreFault.LostResponse],
      kind: 'accepted',
      revision: 1,
    },
    {
      name: 'when the rate limit is reached for a while',
      call: 'swap',
      faults: [StoreFault.Refused, StoreFault.Refused],
      kind: 'accepted',
      revision: 1,
    },
    {
      name: 'when the rate limit is reached until time is up',
      call: 'swap',
      faults: Array<StoreFault>(50).fill(StoreFault.Refused),
      kind: 'not-accepted',
      revision: 0,
    },
  ];
  for (const {name, call, faults, kind, revision} of cases) {
    it(`${name} ends as ${kind}`, async () => {
      const store = new InMemoryStore();
      store.failNext(call, ...faults);
      const result = await accept(store, 0);
      expect(result.kind).toEqual(kind);
      expect(store.versionOf(HEAD_KEY)).toEqual(revision);
    });
  }

  it('ends as unknown when every swap of the head remains unanswered', async () => {
    const store = new InMemoryStore();
    const lost = Array<StoreFault>(50).fill(StoreFault.LostRequest);
    await accept(store, 0);
    store.failNext('swap', StoreFault.None, ...lost);
    const result = await accept(store, 1);
    expect(result.kind).toEqual('unknown');
  });

  it('returns a conflict for a version that is not current', async () => {
    const store = new InMemoryStore();
    await accept(store, 0);
    await accept(store, 1);
    const result = await accept(store, 1);
    expect(result).toEqual({kind: 'conflict', expected: 1, current: 2});
  });

  it('rereads a head that is older than the version the operator expects', async () => {
    const store = new InMemoryStore();
    await accept(store, 0);
    await accept(store, 1);
    store.failNext('get', StoreFault.Stale);
    const result = await accept(store, 2);
    expect(result.kind).toEqual('accepted');
  });
});

describe('following the head', () => {
  const cases: {name: string; call: StoreCall; fault: StoreFault}[] = [
    {name: 'a stale read', call: 'watch', fault: StoreFault.Stale},
    {name: 'a duplicate event', call: 'watch', fault: StoreFault.Duplicate},
  ];
  for (const {name, call, fault} of cases) {
    it(`never reverts on ${name}`, async () => {
      const {store, holder, reader} = await createFollowingReader();
      store.failNext(call, fault);
      const hasAdvanced = await reader.watchOnce();
      expect(hasAdvanced).toEqual(false);
      expect(holder.revision).toEqual(2);
    });
  }

  it('keeps the old revision until every body was read', async () => {
    const {store, holder, reader} = await createFollowingReader();
    await accept(store, 2);
    const revisionBefore = holder.revision;
    store.failNext('get', StoreFault.LostResponse);
    await expect(reader.watchOnce()).toBeRejected();
    expect(holder.revision).toEqual(revisionBefore);
    await reader.watchOnce();
    expect(holder.revision).toEqual(3);
  });

  it('distinguishes an empty configuration from an unread one', async () => {
    const holder = new LatestConfiguration(createTestContext());
    const reader = new StoreConfigurationReader(new InMemoryStore(), holder);
    expect(holder.isKnown).toEqual(false);
    await reader.readOnce();
    expect(holder.isKnown).toEqual(true);
  });
});

describe('the lease of a zone', () => {
  const key = delegateLeaseKey('zone-a');

  it('is acquired by another proxy after it expires', async () => {
    const store = new InMemoryStore();
    const first = createElection(store, 'entry-1');
    const second = createElection(store, 'entry-2');
    await first.step();
    await second.step();
    expect([first.isDelegate, second.isDelegate]).toEqual([true, false]);
    expect(second.leaseHolder).toEqual('entry-1');
    store.expireLease(key);
    await second.step();
    await first.step();
    expect([first.isDelegate, second.isDelegate]).toEqual([false, true]);
  });

  const faults = [
    {fault: StoreFault.LostResponse, name: 'a lost answer'},
    {fault: StoreFault.Refused, name: 'a refusal for the rate limit'},
  ];
  for (const {fault, name} of faults) {
    it(`is kept after ${name} to its renewal`, async () => {
      const store = new InMemoryStore();
      const election = createElection(store, 'entry-1');
      await election.step();
      store.failNext('lease', fault);
      await election.step();
      expect(election.isDelegate).toEqual(true);
    });
  }

  it('is released when its holder stops', async () => {
    const store = new InMemoryStore();
    const first = createElection(store, 'entry-1');
    const second = createElection(store, 'entry-2');
    await first.step();
    await first.stop(0);
    await second.step();
    expect(second.isDelegate).toEqual(true);
  });
});

/** An election whose rounds a test runs individually. */
class SteppedElection extends DelegateElection {
  async step(): Promise<void> {
    await this.runOnce();
  }
}

function createElection(store: InMemoryStore, vm: string): SteppedElection {
  const context = createTestContext({vm});
  return new SteppedElection(context, store, new MembershipTracker(context));
}

/** Creates a reader that has read a store at revision 2. */
async function createFollowingReader(): Promise<{
  store: InMemoryStore;
  holder: LatestConfiguration;
  reader: StoreConfigurationReader;
}> {
  const store = new InMemoryStore();
  await accept(store, 0);
  await accept(store, 1);
  const holder = new LatestConfiguration(createTestContext());
  const reader = new StoreConfigurationReader(store, holder);
  await reader.readOnce();
  return {store, holder, reader};
}

function accept(
  store: InMemoryStore,
  expectedVersion: number,
): Promise<AcceptanceResult> {
  return new ChangeAcceptor(store).accept(
    {
      key: 'promotion/ledger',
      expectedVersion,
      resource: PROMOTION,
      change: {by: 'amina', at: '2026-01-01T00:00:00.000Z', reason: ''},
    },
    TIMEOUT_MS,
  );
}
