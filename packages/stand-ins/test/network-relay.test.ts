import type {Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  ControlClient,
  NetworkRelay,
  relaySettingsSchema,
} from '../src/index.js';
import {loopbackAddress} from './support/loopback-address.js';

const PORT = 7100;
const CONTROL_PORT = 7101;
const RELAY_ADDRESS = loopbackAddress(9, 1);

/** Addresses in two locations and the published address of the second. */
const CALLER = loopbackAddress(10, 1);
const TARGET = loopbackAddress(11, 1);
const PUBLISHED = loopbackAddress(12, 1);

const LATENCY_MS = 20;

/** How long a test waits to see that no bytes arrive, in milliseconds. */
const SILENCE_MS = 150;

/** Longest wait for expected bytes, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 10_000;

describe('NetworkRelay', () => {
  const control = new ControlClient(`http://${RELAY_ADDRESS}:${CONTROL_PORT}`);
  let relay: NetworkRelay;
  let echo: Server;
  let socket: Socket;

  beforeEach(async () => {
    echo = createServer(peer => {
      peer.on('error', () => undefined);
      peer.pipe(peer);
    });
    echo.listen(PORT, TARGET);
    await once(echo, 'listening');
    relay = new NetworkRelay(
      relaySettingsSchema.parse({
        address: RELAY_ADDRESS,
        controlPort: CONTROL_PORT,
        routes: [
          {
            address: PUBLISHED,
            port: PORT,
            targetAddress: TARGET,
            targetPort: PORT,
          },
        ],
        places: [
          {name: 'west', region: 'one', prefixes: [prefixOf(CALLER)]},
          {name: 'east', region: 'two', prefixes: [prefixOf(TARGET)]},
        ],
        latencies: [{between: ['west', 'east'], oneWayMs: LATENCY_MS}],
        regionBytesPerSecond: 1_000_000,
      }),
    );
    await relay.start();
    socket = await open();
  });

  afterEach(async () => {
    socket.destroy();
    await relay.stop();
    echo.close();
  });

  async function open(): Promise<Socket> {
    const opened = connect({host: PUBLISHED, port: PORT, localAddress: CALLER});
    opened.on('error', () => undefined);
    await once(opened, 'connect');
    return opened;
  }

  it('delays bytes by at least the latency in each direction', async () => {
    const startedAt = performance.now();
    expect(await exchange(socket, 'x')).toEqual('x');
    expect(performance.now() - startedAt >= 2 * LATENCY_MS).toEqual(true);
  });

  it('limits the bandwidth between regions', async () => {
    const startedAt = performance.now();
    await exchange(socket, 'x'.repeat(100_000));
    expect(performance.now() - startedAt >= 100).toEqual(true);
  });

  describe('faults', () => {
    const cases = [
      {name: 'the direction to the target', fault: {from: 'west', to: 'east'}},
      {
        name: 'the direction from the target',
        fault: {from: 'east', to: 'west'},
      },
      {name: 'all traffic to one address', fault: {to: TARGET}},
    ];
    for (const {name, fault} of cases) {
      it(`drops bytes in ${name} and keeps the connection`, async () => {
        await setFaults([{kind: 'silent', ...fault}]);
        expect(await exchange(socket, 'x', SILENCE_MS)).toEqual('silent');
      });
    }

    it('closes connections and accepts no new ones', async () => {
      await setFaults([{kind: 'closed', from: 'west', to: 'east'}]);
      expect(await exchange(socket, 'x')).toEqual('closed');
      const next = connect({host: PUBLISHED, port: PORT, localAddress: CALLER});
      next.on('error', () => undefined);
      await new Promise(resolve => next.once('close', resolve));
      expect(next.destroyed).toEqual(true);
    });

    it('does not affect other directions', async () => {
      await setFaults([
        {kind: 'silent', from: 'north', to: 'east'},
        {kind: 'silent', from: 'west', to: 'north'},
      ]);
      expect(await exchange(socket, 'x')).toEqual('x');
    });

    it('silences open connections for good while new ones work', async () => {
      await exchange(socket, 'x');
      await control.put('/conditions', {silenceOpen: true});
      await control.put('/conditions', {});
      expect(await exchange(socket, 'x', SILENCE_MS)).toEqual('silent');
      const next = await open();
      expect(await exchange(next, 'x')).toEqual('x');
      next.destroy();
    });
  });

  async function setFaults(faults: unknown[]): Promise<void> {
    await control.put('/conditions', {faults});
  }
});

/**
 * Sends text and waits for a reply of the same length.
 *
 * @returns The reply, `silent` if none arrives in time, or `closed`.
 */
async function exchange(
  socket: Socket,
  text: string,
  waitMs = RESPONSE_TIMEOUT_MS,
): Promise<string> {
  let received = '';
  const complete = new Promise<string>(resolve => {
    socket.on('data', bytes => {
      received += bytes.toString();
      if (received.length >= text.length) resolve(received);
    });
    socket.once('close', () => resolve('closed'));
  });
  socket.write(text);
  const abortController = new AbortController();
  const silent = sleep(waitMs, 'silent', {signal: abortController.signal});
  const result = await Promise.race([complete, silent]);
  abortController.abort();
  await silent.catch(() => undefined);
  socket.removeAllListeners('data');
  return result;
}

function prefixOf(address: string): string {
  return address.slice(0, address.lastIndexOf('.'));
}
