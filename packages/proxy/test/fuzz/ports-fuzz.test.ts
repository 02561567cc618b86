import {connect} from 'node:net';
import {after, before, describe, it} from 'node:test';
import {Outcome} from '@sapphireglade/decisions';
import {callerStatementRequestSchema} from '@sapphireglade/protocol';
import type {CallerClient} from '@sapphireglade/stand-ins';
import {
  collectInstanceHistories,
  Fleet,
  loadExampleDeployment,
} from '@sapphireglade/stand-ins';
import {expect} from 'earl';
import fc from 'fast-check';
import {request} from 'undici';

const OPTIONS = {seed: 20_264, numRuns: 150};

const VM = 'lhr-depot-1';
const GROUP = 'hire-ledger';
const STATEMENT = {
  group: GROUP,
  sql: 'INSERT INTO bookings (id) VALUES (?)',
  parameters: ['a'],
  access: 'write',
};

/**
 * Time within which a port must close a connection that sends invalid data, in
 * milliseconds.
 */
const CLOSE_TIMEOUT_MS = 60_000;

/** Number of bytes after which a port counts as having no size limit. */
const FLOOD_LIMIT_BYTES = 64 * 1_048_576;

describe('the ports of a proxy under random input', () => {
  let fleet: Fleet;
  let client: CallerClient;
  let pid: number | undefined;

  before(async () => {
    fleet = await Fleet.start({deployment: loadExampleDeployment('demo')});
    client = fleet.client(VM);
    ({pid} = fleet.process(VM));
  });

  after(() => fleet.stop());

  /**
   * Sends a body to the caller port and checks that it is refused as not run.
   */
  async function expectRefusal(path: string, body: unknown): Promise<void> {
    const {status, answer} = await client.post(path, body);
    expect(status >= 400 && status < 500).toEqual(true);
    expect(answer.outcome).toEqual(Outcome.NotRun);
    expect(answer.error?.kind).not.toEqual(undefined);
  }

  it('refuse random JSON on every caller path, as not run', async () => {
    const path = fc.constantFrom(
      '/v1/statements',
      '/v1/transactions',
      '/v1/transactions/none/statements',
      '/v1/transactions/none/commit',
      '/v1/transactions/e30/rollback',
    );
    await fc.assert(
      fc.asyncProperty(path, fc.jsonValue(), expectRefusal),
      OPTIONS,
    );
  });

  it('refuse a statement with one invalid or unknown field', async () => {
    const field = fc.constantFrom(...Object.keys(STATEMENT), 'more');
    await fc.assert(
      fc.asyncProperty(field, fc.jsonValue(), async (name, value) => {
        const body = {...STATEMENT, [name]: value};
        if (callerStatementRequestSchema.safeParse(body).success) return;
        await expectRefusal('/v1/statements', body);
      }),
      OPTIONS,
    );
  });

  it('refuse a body above the size limit', () =>
    expectRefusal('/v1/statements', {
      ...STATEMENT,
      sql: 'x'.repeat(2_000_000),
    }));

  it('refuse random session tokens, as not run', async () => {
    const token = fc.stringMatching(/^[A-Za-z0-9_-]{1,100}$/);
    await fc.assert(
      fc.asyncProperty(token, async text => {
        const {status, answer} = await client.post(
          '/v1/statements',
          STATEMENT,
          text,
        );
        expect(status).toEqual(400);
        expect(answer.outcome).toEqual(Outcome.NotRun);
      }),
      OPTIONS,
    );
  });

  it('answer random text that is not JSON with 400', async () => {
    const origin = fleet.proxyOrigin(VM, 'caller');
    await fc.assert(
      fc.asyncProperty(fc.string({minLength: 1}), async text => {
        const response = await request(`${origin}/v1/statements`, {
          method: 'POST',
          headers: {'content-type': 'application/json'},
          body: `{{${text}`,
        });
        await response.body.dump();
        expect(response.statusCode).toEqual(400);
      }),
      OPTIONS,
    );
  });

  for (const port of ['caller', 'operator', 'peer'] as const) {
    it(`close connections that send random bytes to the ${port} port`, async () => {
      const {hostname, port: number} = new URL(fleet.proxyOrigin(VM, port));
      await fc.assert(
        fc.asyncProperty(fc.uint8Array({minLength: 64}), async bytes => {
          await sendRandomBytes(hostname, Number(number), Buffer.from(bytes));
        }),
        {...OPTIONS, numRuns: 30},
      );
    });
  }

  it('close a connection at the size limit when its body does not end', async () => {
    const {hostname, port} = new URL(fleet.proxyOrigin(VM, 'caller'));
    const head = [
      'POST /v1/statements HTTP/1.1',
      `Host: ${hostname}`,
      'Content-Type: application/json',
      'Transfer-Encoding: chunked',
    ];
    const start = Buffer.from(`${head.join('\r\n')}\r\n\r\n`);
    const chunk = Buffer.from(`10000\r\n${'x'.repeat(0x10000)}\r\n`);
    const sent = await flood(hostname, Number(port), start, chunk);
    expect(sent < FLOOD_LIMIT_BYTES).toEqual(true);
  });

  it('close a link whose frame header exceeds the maximum length', async () => {
    const {hostname, port} = new URL(fleet.proxyOrigin(VM, 'peer'));
    const start = Buffer.from([0xff, 0xff, 0xff, 0xff]);
    const chunk = Buffer.alloc(0x10000, 0x78);
    const sent = await flood(hostname, Number(port), start, chunk);
    expect(sent < FLOOD_LIMIT_BYTES).toEqual(true);
  });

  it('ran no statement and still respond', async () => {
    expect(fleet.process(VM).pid).toEqual(pid);
    const response = await request(
      `${fleet.proxyOrigin(VM, 'caller')}/healthz`,
    );
    await response.body.dump();
    expect(response.statusCode).toEqual(200);
    for (const {runs} of await collectInstanceHistories(fleet)) {
      expect([...runs]).toEqual([]);
    }
  });
});

/** Sends bytes, ends the stream and waits until the connection closes. */
function sendRandomBytes(
  host: string,
  port: number,
  bytes: Buffer,
): Promise<void> {
  return new Promise((resolve, reject) => {
    const socket = connect({host, port});
    const timer = setTimeout(
      () => reject(new Error('The connection stayed open.')),
      CLOSE_TIMEOUT_MS,
    );
    socket.on('error', () => undefined);
    socket.once('close', () => {
      clearTimeout(timer);
      resolve();
    });
    socket.resume();
    socket.end(bytes);
  });
}

/**
 * Sends the same chunk repeatedly until the other end closes the connection.
 *
 * @returns The number of bytes sent; stops at {@link FLOOD_LIMIT_BYTES}.
 */
async function flood(
  host: string,
  port: number,
  start: Buffer,
  chunk: Buffer,
): Promise<number> {
  const socket = connect({host, port});
  socket.on('error', () => undefined);
  socket.resume();
  socket.write(start);
  let sent = start.length;
  while (
    !socket.destroyed &&
    !socket.readableEnded &&
    sent < FLOOD_LIMIT_BYTES
  ) {
    sent += chunk.length;
    await new Promise<void>(resolve => socket.write(chunk, () => resolve()));
  }
  socket.destroy();
  return sent;
}
