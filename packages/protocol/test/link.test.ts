import {createServer} from 'node:net';
import type {AddressInfo, Server} from 'node:net';
import {describe, it, afterEach} from 'node:test';
import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import {HybridLogicalClock} from '@sapphireglade/runtime';
import {expect} from 'earl';
import {firstValueFrom} from 'rxjs';
import type {LinkContext, LinkHandlers} from '../src/index.js';
import {
  DEFAULT_LINK_TIMEOUTS,
  encodeFrame,
  FrameReader,
  Link,
  LinkDialer,
  MAXIMUM_FRAME_BYTES,
} from '../src/index.js';

const HANDLERS: LinkHandlers = {
  onRequest: async body => ({echo: body}),
  onNotification: () => undefined,
};

let server: Server | undefined;

describe('Link', () => {
  afterEach(() => {
    server?.close();
  });

  describe('requests', () => {
    it('resolves each of many concurrent requests with its own response', async () => {
      const dialer = await connectPair(HANDLERS);
      const numbers = Array.from({length: 50}, (_, index) => index);
      const responses = await Promise.all(
        numbers.map(number => dialer.request({number}, 1_000)),
      );
      expect(responses).toEqual(numbers.map(number => ({echo: {number}})));
      dialer.stop();
    });

    it('fails with outcome "unknown" after the deadline and counts the late response', async () => {
      const gate = new FirstResponseGate();
      const dialer = await connectPair({...HANDLERS, onRequest: gate.handler});
      const error = await expectFailure(dialer.request({}, 20));
      expect(error.outcome).toEqual(Outcome.Unknown);
      gate.release();
      await dialer.request({}, 1_000);
      expect(dialer.current?.counters.lateResponses).toEqual(1);
      dialer.stop();
    });

    it('fails with outcome "not run" when no link could be opened', async () => {
      const closedPort = await findFreePort();
      const dialer = new LinkDialer(
        {address: '127.0.0.1', port: closedPort},
        createLinkContext('a', HANDLERS),
      );
      const error = await expectFailure(dialer.request({}, 100));
      expect(error.outcome).toEqual(Outcome.NotRun);
    });
  });

  describe('malformed input', () => {
    const hello = encodeFrame({
      kind: 'hello',
      clock: {wallMs: 0, counter: 0},
      version: 1,
      process: 'b',
      boot: 'b',
      zone: 'z',
    });
    const cases = [
      {
        name: 'a frame that is too long',
        bytes: encodeLengthPrefix(MAXIMUM_FRAME_BYTES + 1),
        kind: ErrorKind.FrameTooLong,
      },
      {
        name: 'a frame that is not CBOR',
        bytes: Buffer.concat([encodeLengthPrefix(1), Buffer.from([0xff])]),
        kind: ErrorKind.FrameMalformed,
      },
      {
        name: 'a frame of an unknown kind',
        bytes: encodeFrame({kind: 'other'} as never),
        kind: ErrorKind.FrameUnknownKind,
      },
      {
        name: 'a truncated frame',
        bytes: encodeFrame({
          kind: 'ping',
          clock: {wallMs: 0, counter: 0},
        }).subarray(0, 6),
        kind: ErrorKind.LinkClosed,
      },
    ];
    for (const {name, bytes, kind} of cases) {
      it(`closes the link on ${name}`, async () => {
        const closed = await closeKindAfterReceiving(
          Buffer.concat([hello, bytes]),
        );
        expect(closed).toEqual(kind);
      });
    }
  });

  describe('frames in several chunks', () => {
    it('reads frames that arrive one byte at a time', () => {
      const frame = {
        kind: 'notice',
        clock: {wallMs: 1, counter: 2},
        body: {text: 'é'.repeat(100)},
      } as const;
      const bytes = Buffer.concat([encodeFrame(frame), encodeFrame(frame)]);
      const reader = new FrameReader();
      const frames = [...bytes].flatMap(byte => [
        ...reader.push(Buffer.from([byte])),
      ]);
      expect(frames).toEqual([frame, frame]);
    });
  });
});

/** Request handler that holds back its first response until it is released. */
class FirstResponseGate {
  private open: () => void = () => undefined;
  private readonly opened = new Promise<void>(resolve => {
    this.open = resolve;
  });
  private isFirst = true;

  readonly handler = async (): Promise<unknown> => {
    if (!this.isFirst) return {};
    this.isFirst = false;
    await this.opened;
    return {};
  };

  release(): void {
    this.open();
  }
}

function createLinkContext(
  process: string,
  handlers: LinkHandlers,
): LinkContext {
  return {
    identity: {process, boot: `${process}-1`, zone: 'z'},
    clock: new HybridLogicalClock(),
    handlers,
    timings: DEFAULT_LINK_TIMEOUTS,
  };
}

async function connectPair(handlers: LinkHandlers): Promise<LinkDialer> {
  server = createServer(socket => {
    new Link(socket, createLinkContext('b', handlers));
  });
  const port = await listen(server);
  return new LinkDialer(
    {address: '127.0.0.1', port},
    createLinkContext('a', HANDLERS),
  );
}

async function closeKindAfterReceiving(bytes: Buffer): Promise<ErrorKind> {
  server = createServer(socket => {
    socket.end(bytes);
    socket.on('error', () => undefined);
  });
  const port = await listen(server);
  const dialer = new LinkDialer(
    {address: '127.0.0.1', port},
    createLinkContext('a', HANDLERS),
  );
  const link = await dialer.open();
  const error = await firstValueFrom(link.closed$);
  return error.kind;
}

async function expectFailure(
  promise: Promise<unknown>,
): Promise<SapphiregladeError> {
  const error: unknown = await promise.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  if (error instanceof SapphiregladeError) return error;
  throw new Error('The promise did not fail as expected.');
}

async function findFreePort(): Promise<number> {
  const probe = createServer();
  const port = await listen(probe);
  await new Promise(resolve => probe.close(resolve));
  return port;
}

function listen(target: Server): Promise<number> {
  return new Promise(resolve => {
    target.listen(0, '127.0.0.1', () => {
      resolve((target.address() as AddressInfo).port);
    });
  });
}

function encodeLengthPrefix(length: number): Buffer {
  const prefix = Buffer.alloc(4);
  prefix.writeUInt32BE(length);
  return prefix;
}
