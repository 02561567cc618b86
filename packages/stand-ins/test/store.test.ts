import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {FaultTableBody} from '../src/index.js';
import {
  ControlClient,
  FaultKind,
  Leases,
  PlatformStoreService,
  storeSettingsSchema,
} from '../src/index.js';
import {loopbackAddress} from './support/loopback-address.js';
import {UpstreamSocket} from './support/upstream-socket.js';

const ADDRESS = loopbackAddress(2, 1);
const PORT = 7100;
const CONTROL_PORT = 7101;

/** How long a test waits to see that no response arrives, in milliseconds. */
const NO_RESPONSE_MS = 150;

/** Longest wait for an expected response, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 10_000;

describe('PlatformStoreService', () => {
  const control = new ControlClient(`http://${ADDRESS}:${CONTROL_PORT}`);
  let store: PlatformStoreService;
  let socket: UpstreamSocket;

  beforeEach(async () => {
    store = new PlatformStoreService(
      storeSettingsSchema.parse({
        address: ADDRESS,
        port: PORT,
        controlPort: CONTROL_PORT,
        writesPerSecond: 10,
        answerMs: 0,
      }),
    );
    await store.start();
    socket = new UpstreamSocket(ADDRESS, PORT);
  });

  afterEach(async () => {
    await socket.close();
    await store.stop();
  });

  async function swap(
    expectedVersion: number,
    value: string,
  ): Promise<unknown> {
    const body = {key: 'a', expectedVersion, value};
    return (await socket.post('/compare-and-swap', body)).body;
  }

  async function get(): Promise<unknown> {
    return (await socket.post('/get', {key: 'a'})).body;
  }

  describe('compare-and-swap', () => {
    it('writes only at the expected version', async () => {
      expect(await swap(0, 'x')).toEqual({
        swapped: true,
        version: 1,
        value: 'x',
      });
      expect(await swap(0, 'y')).toEqual({
        swapped: false,
        version: 1,
        value: 'x',
      });
    });

    it('never reuses an old version for a new key', async () => {
      await swap(0, 'x');
      await socket.post('/delete', {key: 'a', expectedVersion: 1});
      expect(await swap(0, 'y')).toEqual({
        swapped: true,
        version: 2,
        value: 'y',
      });
    });

    it('refuses a value past the limit', async () => {
      const value = 'x'.repeat(1_048_577);
      const body = {key: 'a', expectedVersion: 0, value};
      const answer = await socket.post('/compare-and-swap', body);
      expect(answer.status).toEqual(413);
    });
  });

  describe('watch', () => {
    it('answers when the key changes', async () => {
      const watcher = new UpstreamSocket(ADDRESS, PORT);
      const body = {key: 'a', afterVersion: 0, timeoutMs: 5_000};
      const watching = watcher.post('/watch', body);
      await swap(0, 'x');
      expect((await watching).body).toEqual({version: 1, value: 'x'});
      await watcher.close();
    });

    it('returns the current value when the timeout expires', async () => {
      const body = {key: 'a', afterVersion: 0, timeoutMs: 10};
      const answer = await socket.post('/watch', body);
      expect(answer.body).toEqual({version: 0, value: null});
    });
  });

  describe('leases', () => {
    it('are held by one holder', async () => {
      const lease = {key: 'l', durationMs: 60_000};
      const holders = ['one', 'two', 'one'];
      const held: unknown[] = [];
      for (const holder of holders) {
        const answer = await socket.post('/acquire-lease', {...lease, holder});
        held.push(answer.body['held']);
      }
      expect(held).toEqual([true, false, true]);
    });

    it('expire by the clock of the store', () => {
      let nowMs = 0;
      const leases = new Leases(() => nowMs);
      const lease = {key: 'l', durationMs: 30};
      leases.acquire({...lease, holder: 'one'});
      nowMs = 29;
      expect(leases.acquire({...lease, holder: 'two'}).holder).toEqual('one');
      nowMs = 30;
      const free = leases.release({...lease, holder: 'nobody'});
      expect(free.holder).toEqual(null);
      expect(leases.acquire({...lease, holder: 'two'}).held).toEqual(true);
    });
  });

  describe('limits and counts', () => {
    it('responds with 429 above the rate limit and counts every call', async () => {
      const statuses: number[] = [];
      for (let call = 0; call < 11; call += 1) {
        const body = {key: `k${call}`, expectedVersion: 0, value: ''};
        const answer = await socket.post('/compare-and-swap', body);
        statuses.push(answer.status);
      }
      expect(statuses.filter(status => status === 429).length).toEqual(1);
      expect(await control.get('/calls')).toEqual({
        byPath: {'/compare-and-swap': 11},
        byClient: {'127.0.0.1': 11},
        limited: 1,
      });
    });
  });

  describe('faults', () => {
    const cases: ReadonlyArray<{
      readonly name: string;
      readonly table: FaultTableBody;
      readonly answers: boolean;
      readonly takesEffect: boolean;
    }> = [
      {
        name: 'delay',
        table: {faults: [{kind: FaultKind.Delay, delayMs: 20, count: 1}]},
        answers: true,
        takesEffect: true,
      },
      {
        name: 'drop-answer',
        table: {faults: [{kind: FaultKind.DropResponse, count: 1}]},
        answers: false,
        takesEffect: true,
      },
      {
        name: 'withhold-answer',
        table: {faults: [{kind: FaultKind.WithholdResponse, count: 1}]},
        answers: false,
        takesEffect: true,
      },
      {
        name: 'silent',
        table: {faults: [{kind: FaultKind.IgnoreRequest, count: 1}]},
        answers: false,
        takesEffect: false,
      },
      {
        name: 'a fault of another path',
        table: {faults: [{kind: FaultKind.IgnoreRequest, path: '/get'}]},
        answers: true,
        takesEffect: true,
      },
      {
        name: 'a fault of the key',
        table: {faults: [{kind: FaultKind.DropResponse, key: 'a', count: 1}]},
        answers: false,
        takesEffect: true,
      },
      {
        name: 'a fault of another key',
        table: {faults: [{kind: FaultKind.IgnoreRequest, key: 'b'}]},
        answers: true,
        takesEffect: true,
      },
      {
        name: 'a fault of another client',
        table: {faults: [{kind: FaultKind.IgnoreRequest, client: '127.9.9.9'}]},
        answers: true,
        takesEffect: true,
      },
      {
        name: 'down',
        table: {down: true},
        answers: false,
        takesEffect: false,
      },
    ];

    for (const {name, table, answers, takesEffect} of cases) {
      it(`${name}: responds ${answers}, takes effect ${takesEffect}`, async () => {
        await control.setFaults(table);
        const body = {key: 'a', expectedVersion: 0, value: 'x'};
        const hasSucceeded = await socket
          .post(
            '/compare-and-swap',
            body,
            answers ? RESPONSE_TIMEOUT_MS : NO_RESPONSE_MS,
          )
          .then(({status}) => status === 200)
          .catch(() => false);
        expect(hasSucceeded).toEqual(answers);
        await control.setFaults({});
        const expected = takesEffect
          ? {version: 1, value: 'x'}
          : {version: 0, value: null};
        expect(await get()).toEqual(expected);
      });
    }

    it('refuse: responds with 503 and takes no effect', async () => {
      await control.setFaults({faults: [{kind: FaultKind.Refuse, count: 1}]});
      const body = {key: 'a', expectedVersion: 0, value: 'x'};
      const answer = await socket.post('/compare-and-swap', body);
      expect(answer.status).toEqual(503);
      expect(await get()).toEqual({version: 0, value: null});
    });
  });
});
