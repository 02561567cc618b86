import {createServer} from 'node:net';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {HEAD_KEY} from '@sapphireglade/decisions';
import {expect} from 'earl';
import {
  ChangeAcceptor,
  LatestConfiguration,
  StoreConfigurationReader,
  MembershipTracker,
  InstrumentedStore,
  OperatorServer,
} from '../src/index.js';
import {InMemoryStore, StoreFault} from './support/in-memory-store.js';
import {OperatorApi} from './support/operator-api.js';
import {OPERATOR, createTestContext} from './support/test-context.js';

const KEY = 'group/ledger';
const INSTANCE = {
  name: 'one',
  zone: 'zone-a',
  address: '127.0.0.1',
  port: 7_000,
  connectionLimit: 20,
};
const GROUP = {instances: [INSTANCE]};

describe('the resource API', () => {
  let fixture: OperatorApiFixture;

  beforeEach(async () => {
    fixture = await OperatorApiFixture.start();
  });
  afterEach(() => fixture.stop());

  it('creates, reads, changes, lists and deletes a resource', async () => {
    const {api} = fixture;
    const created = await api.put(KEY, undefined, GROUP);
    expect([created.status, created.body.version]).toEqual([200, 1]);
    const read = await api.read(KEY);
    expect(read.body.change?.by).toEqual(OPERATOR.name);
    expect(read.body.change?.reason).toEqual('a test');
    const changed = await api.put(KEY, 1, {...GROUP, allowedAgeMs: 5});
    expect([changed.body.previousVersion, changed.body.version]).toEqual([
      1, 2,
    ]);
    expect((await api.list()).body.resources.length).toEqual(1);
    expect((await api.remove(KEY, 2)).body.version).toEqual(0);
    expect((await api.read(KEY)).status).toEqual(404);
  });

  it('never reuses a version of a deleted resource', async () => {
    const {api} = fixture;
    await api.put(KEY, undefined, GROUP);
    await api.remove(KEY, 1);
    const again = await api.put(KEY, undefined, GROUP);
    expect(again.body.version).toEqual(3);
    expect((await api.put(KEY, 1, GROUP)).status).toEqual(409);
  });

  it('changes nothing in a dry run', async () => {
    const {api, store} = fixture;
    const answer = await api.put(KEY, undefined, GROUP, '?dryRun=true');
    expect([answer.status, answer.body.dryRun]).toEqual([200, true]);
    expect(answer.body.resource?.kind).toEqual('group');
    expect(store.versionOf(HEAD_KEY)).toEqual(0);
  });

  it('refuses a stale version and returns both versions', async () => {
    const {api} = fixture;
    await api.put(KEY, undefined, GROUP);
    await api.put(KEY, 1, GROUP);
    const cases = [
      {named: 1, expected: 1},
      {named: 7, expected: 7},
      {named: undefined, expected: 0},
    ];
    for (const {named, expected} of cases) {
      const answer = await api.put(KEY, named, GROUP);
      expect(answer.status).toEqual(409);
      expect(answer.error?.versions).toEqual({expected, current: 2});
    }
  });

  const invalid: {name: string; key: string; body: unknown; field: string}[] = [
    {name: 'a body that is not an object', key: KEY, body: [], field: 'body'},
    {name: 'another kind', key: KEY, body: {kind: 'caller'}, field: 'kind'},
    {name: 'another name', key: KEY, body: {name: 'x'}, field: 'name'},
    {name: 'an unknown field', key: KEY, body: {...GROUP, a: 1}, field: ''},
    {
      name: 'a group without instances',
      key: KEY,
      body: {instances: []},
      field: 'instances',
    },
    {
      name: 'a port out of range',
      key: KEY,
      body: {instances: [{...INSTANCE, port: 0}]},
      field: 'instances.0.port',
    },
    {
      name: 'two instances with the same name',
      key: KEY,
      body: {instances: [INSTANCE, {...INSTANCE, port: 7_001}]},
      field: 'instances.1.name',
    },
    {
      name: 'two instances with the same address',
      key: KEY,
      body: {instances: [INSTANCE, {...INSTANCE, name: 'two'}]},
      field: 'instances.1.address',
    },
    {
      name: 'a wrong kind in the path',
      key: 'x/y',
      body: {},
      field: 'path.kind',
    },
    {
      name: 'a wrong name in the path',
      key: 'group/A',
      body: GROUP,
      field: 'path.name',
    },
  ];
  for (const {name, key, body, field} of invalid) {
    it(`refuses ${name} with the field and a reason`, async () => {
      const answer = await fixture.api.put(key, undefined, body);
      expect(answer.status).toEqual(400);
      expect(answer.error?.field).toEqual(field);
      expect(answer.error?.message.length ?? 0).toBeGreaterThan(10);
      expect(fixture.store.versionOf(HEAD_KEY)).toEqual(0);
    });
  }

  it('refuses a change of primary to an instance that does not exist', async () => {
    const {api} = fixture;
    await api.put(KEY, undefined, GROUP);
    const wrong = await api.put('promotion/ledger', undefined, {target: 'x'});
    expect([wrong.status, wrong.error?.field]).toEqual([400, 'target']);
    const right = await api.put('promotion/ledger', undefined, {target: 'one'});
    expect(right.status).toEqual(200);
  });

  const keys = [
    {name: 'an unknown operator', operator: 'nobody', key: OPERATOR.key},
    {name: 'a wrong key', operator: OPERATOR.name, key: 'wrong'},
  ];
  for (const {name, operator, key} of keys) {
    it(`refuses ${name}`, async () => {
      const unauthorized = new OperatorApi(fixture.origin, operator, key);
      expect((await unauthorized.put(KEY, undefined, GROUP)).status).toEqual(
        401,
      );
      await fixture.api.list();
      expect((await unauthorized.list()).status).toEqual(401);
    });
  }

  it('answers a watch as soon as there is a newer revision', async () => {
    const {api} = fixture;
    await api.put(KEY, undefined, GROUP);
    const waiting = api.watch(1, 30_000);
    await api.put(KEY, 1, GROUP);
    const {body} = await waiting;
    expect(body.revision).toEqual(2);
    expect(body.changes).toEqual([{key: KEY, version: 2}]);
  });

  it('reports a change as not accepted while the store refuses calls', async () => {
    const refusals = Array<StoreFault>(200).fill(StoreFault.Refused);
    fixture.store.failNext('get', ...refusals);
    const answer = await fixture.api.put(KEY, undefined, GROUP);
    expect(answer.status).toEqual(503);
    expect(answer.error?.outcome).toEqual('not run');
    expect((answer.error?.retryAfterMs ?? 0) > 0).toEqual(true);
  });
});

/** An operator server with an in-memory store. */
class OperatorApiFixture {
  private constructor(
    readonly store: InMemoryStore,
    readonly origin: string,
    readonly api: OperatorApi,
    private readonly server: OperatorServer,
  ) {}

  static async start(): Promise<OperatorApiFixture> {
    const operatorPort = await freePort();
    const context = createTestContext({operatorPort});
    const store = new InMemoryStore();
    const instrumented = new InstrumentedStore(store, context.metrics);
    const holder = new LatestConfiguration(context);
    const reader = new StoreConfigurationReader(instrumented, holder);
    const server = new OperatorServer(context, {
      holder,
      control: {
        inForce: async () => [],
        refresh: async () => {
          await reader.readOnce();
        },
      },
      acceptor: new ChangeAcceptor(instrumented),
      status: {
        members: new MembershipTracker(context),
        shares: {grants: () => []},
        store: instrumented,
        isReady: () => true,
        isStopping: () => false,
      },
      acceptanceTimeoutMs: 3_000,
      extensions: [],
    });
    await server.start();
    const origin = `http://127.0.0.1:${operatorPort}`;
    const api = new OperatorApi(origin, OPERATOR.name, OPERATOR.key);
    return new OperatorApiFixture(store, origin, api, server);
  }

  stop(): Promise<void> {
    return this.server.stop(0);
  }
}

function freePort(): Promise<number> {
  const server = createServer();
  return new Promise(resolve => {
    server.listen(0, '127.0.0.1', () => {
      const {port} = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });
}
