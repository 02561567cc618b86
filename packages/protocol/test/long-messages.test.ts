import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import {HybridLogicalClock} from '@sapphireglade/runtime';
import {expect} from 'earl';
import {firstValueFrom} from 'rxjs';
import type {Frame, LinkContext, LinkHandlers} from '../src/index.js';
import {
  DEFAULT_LINK_TIMEOUTS,
  encodeFrame,
  FrameReader,
  Link,
  LinkDialer,
  MAXIMUM_FRAME_BYTES,
  MAXIMUM_MESSAGE_BYTES,
} from '../src/index.js';

/** A deadline that no request of a test reaches, in milliseconds. */
const AMPLE_MS = 20_000;

const ECHO: LinkHandlers = {
  onRequest: async body => ({echo: body}),
  onNotification: () => undefined,
};

/** Texts whose encoding is above the limit of one frame. */
const LONG_TEXT = 'é'.repeat(MAXIMUM_FRAME_BYTES);

describe('Link with long messages', () => {
  const servers: Server[] = [];
  const dialers: LinkDialer[] = [];
  const clients: Socket[] = [];

  afterEach(() => {
    for (const client of clients.splice(0)) client.destroy();
    for (const dialer of dialers.splice(0)) dialer.stop();
    for (const server of servers.splice(0)) server.close();
  });

  async function dial(accept: (socket: Socket) => void): Promise<LinkDialer> {
    const server = createServer(accept);
    servers.push(server);
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const address = {address: '127.0.0.1', port};
    const dialer = new LinkDialer(address, linkContext('a', ECHO));
    dialers.push(dialer);
    return dialer;
  }

  function dialLink(handlers: LinkHandlers): Promise<LinkDialer> {
    return dial(socket => new Link(socket, linkContext('b', handlers)));
  }

  describe('requests and responses', () => {
    it('are carried above the limit of one frame', async () => {
      const dialer = await dialLink(ECHO);
      const response = await dialer.request({text: LONG_TEXT}, AMPLE_MS);
      expect(response).toEqual({echo: {text: LONG_TEXT}});
    });

    it('do not close the link when many are sent at once', async () => {
      const dialer = await dialLink(ECHO);
      const link = await dialer.open();
      const texts = Array.from({length: 14}, (_, index) =>
        String(index).padEnd(1.9 * MAXIMUM_FRAME_BYTES, 'x'),
      );
      const responses = await Promise.all(
        texts.map(text => link.request({text}, AMPLE_MS)),
      );
      expect(responses).toEqual(texts.map(text => ({echo: {text}})));
      expect(link.isOpen).toEqual(true);
    });

    it('let short requests pass', async () => {
      const dialer = await dialLink(ECHO);
      const link = await dialer.open();
      const order: string[] = [];
      const text = 'x'.repeat(MAXIMUM_MESSAGE_BYTES / 2);
      const long = link.request({text}, AMPLE_MS);
      const short = link.request({}, AMPLE_MS);
      await Promise.all([
        long.then(() => order.push('long')),
        short.then(() => order.push('short')),
      ]);
      expect(order).toEqual(['short', 'long']);
    });
  });

  describe('a request that cannot be sent', () => {
    it('above the limit of a message fails as "not run" and leaves the link open', async () => {
      const dialer = await dialLink(ECHO);
      const link = await dialer.open();
      const text = 'x'.repeat(MAXIMUM_MESSAGE_BYTES);
      const error = await failureOf(link.request({text}, AMPLE_MS));
      expect(error.kind).toEqual(ErrorKind.FrameTooLong);
      expect(error.outcome).toEqual(Outcome.NotRun);
      expect(await link.request({}, AMPLE_MS)).toEqual({echo: {}});
    });

    it('because it cannot be encoded fails as "not run"', async () => {
      const dialer = await dialLink(ECHO);
      const link = await dialer.open();
      const body = {
        get text(): string {
          throw new Error('There is no text.');
        },
      };
      const error = await failureOf(link.request(body, AMPLE_MS));
      expect(error.kind).toEqual(ErrorKind.Internal);
      expect(error.outcome).toEqual(Outcome.NotRun);
      expect(await link.request({}, AMPLE_MS)).toEqual({echo: {}});
    });

    it('because too much waits fails as "not run", and what waits is served', async () => {
      const dialer = await dialLink(ECHO);
      const link = await dialer.open();
      const text = 'x'.repeat(0.9 * MAXIMUM_MESSAGE_BYTES);
      const sent = [1, 2].map(() => link.request({text}, AMPLE_MS));
      const error = await failureOf(link.request({text}, AMPLE_MS));
      expect(error.kind).toEqual(ErrorKind.Overloaded);
      expect(error.outcome).toEqual(Outcome.NotRun);
      await Promise.all(sent);
      expect(link.isOpen).toEqual(true);
    });
  });

  describe('a notification that is too long', () => {
    it('is dropped, and the link stays open', async () => {
      const dialer = await dialLink(ECHO);
      const link = await dialer.open();
      link.notify({text: 'x'.repeat(MAXIMUM_MESSAGE_BYTES)});
      expect(link.counters.droppedNotifications).toEqual(1);
      expect(await link.request({}, AMPLE_MS)).toEqual({echo: {}});
    });
  });

  describe('a handler', () => {
    const failing: Array<{name: string; onRequest: LinkHandlers['onRequest']}> =
      [
        {
          name: 'that throws',
          onRequest: () => Promise.reject(new Error('It failed.')),
        },
        {
          name: 'whose response is too long',
          onRequest: async () => 'x'.repeat(MAXIMUM_MESSAGE_BYTES),
        },
      ];
    for (const {name, onRequest} of failing) {
      it(`${name} leaves no request pending and the link open`, async () => {
        const dialer = await dialLink({...ECHO, onRequest});
        const link = await dialer.open();
        expect(await link.request({}, AMPLE_MS)).toEqual(undefined);
        expect(link.isOpen).toEqual(true);
      });
    }

    it('of notifications that throws closes its link only', async () => {
      const dialer = await dialLink({
        ...ECHO,
        onNotification: () => {
          throw new Error('It failed.');
        },
      });
      const link = await dialer.open();
      link.notify({});
      const closed = await firstValueFrom(link.closed$);
      expect(closed.kind).toEqual(ErrorKind.LinkClosed);
    });
  });

  describe('a request given up while its segments are sent', () => {
    it('is not completed, and the next one is served', async () => {
      const bodies: unknown[] = [];
      const sockets: Socket[] = [];
      const dialer = await dial(socket => {
        sockets.push(socket);
        const handlers = {
          ...ECHO,
          onRequest: async (body: unknown) => bodies.push(body),
        };
        new Link(socket, linkContext('b', handlers));
      });
      const link = await dialer.open();
      sockets[0]!.pause();
      const text = 'x'.repeat(MAXIMUM_MESSAGE_BYTES / 2);
      const error = await failureOf(link.request({text}, 100));
      expect(error.kind).toEqual(ErrorKind.OutcomeUnknown);
      sockets[0]!.resume();
      await link.request({text: LONG_TEXT}, AMPLE_MS);
      expect(bodies).toEqual([{text: LONG_TEXT}]);
    });
  });

  describe('a response whose request was given up while its segments are sent', () => {
    it('is not completed, and the next one is', async () => {
      // Long messages are sent in order, so the second arrives after the first.
      const answers = [LONG_TEXT.repeat(6), LONG_TEXT];
      const dialer = await dialLink({
        ...ECHO,
        onRequest: async () => answers.shift(),
      });
      const {address, port} = dialer.address;
      const socket = connect({host: address, port});
      clients.push(socket);
      const link = new Link(socket, linkContext('a', ECHO));
      await firstValueFrom(link.opened$);
      socket.pause();
      const error = await failureOf(link.request({}, 100));
      expect(error.kind).toEqual(ErrorKind.OutcomeUnknown);
      await sleep(100);
      socket.resume();
      expect(await link.request({}, AMPLE_MS)).toEqual(LONG_TEXT);
      expect(link.counters.lateResponses).toEqual(0);
    });
  });

  describe('a peer that does not accept segments', () => {
    it('gets whole frames up to the limit of a frame, and nothing longer', async () => {
      const received: Frame[] = [];
      const dialer = await dial(socket =>
        answerWithoutSegments(socket, received),
      );
      const link = await dialer.open();
      const text = 'x'.repeat(MAXIMUM_FRAME_BYTES - 500);
      expect(await link.request({text}, AMPLE_MS)).toEqual({});
      const error = await failureOf(link.request({text: LONG_TEXT}, AMPLE_MS));
      expect(error.kind).toEqual(ErrorKind.FrameTooLong);
      expect(error.outcome).toEqual(Outcome.NotRun);
      expect(await link.request({}, AMPLE_MS)).toEqual({});
      const kinds = received.map(({kind}) => kind);
      expect(kinds).toEqual(['hello', 'request', 'request']);
    });
  });

  describe('a link whose peer says nothing of segments', () => {
    it('receives them nevertheless', async () => {
      const handled = new Promise<unknown>(resolve => {
        const handlers = {
          ...ECHO,
          onRequest: async (body: unknown) => resolve(body),
        };
        void dial(socket => new Link(socket, linkContext('b', handlers))).then(
          ({address}) => sendInSegments(address.port),
        );
      });
      expect(await handled).toEqual({text: 'short'});
    });
  });

  function sendInSegments(port: number): void {
    const socket = connect({host: '127.0.0.1', port});
    clients.push(socket);
    socket.on('error', () => undefined);
    const clock = {wallMs: 0, counter: 0};
    const request = encodeFrame({
      kind: 'request',
      clock,
      correlation: 1,
      deadlineMs: AMPLE_MS,
      body: {text: 'short'},
    }).subarray(4);
    socket.write(encodeFrame(HELLO));
    socket.write(
      encodeFrame({kind: 'segment', position: 'last', data: request}),
    );
  }
});

/** The first frame of a proxy that does not accept segments. */
const HELLO: Frame = {
  kind: 'hello',
  clock: {wallMs: 0, counter: 0},
  version: 1,
  process: 'b',
  boot: 'b-1',
  zone: 'z',
};

/** Answers requests like a proxy that does not accept segments. */
function answerWithoutSegments(socket: Socket, received: Frame[]): void {
  const reader = new FrameReader();
  const {clock} = HELLO;
  socket.write(encodeFrame(HELLO));
  socket.on('error', () => undefined);
  socket.on('data', chunk => {
    for (const frame of reader.push(chunk)) {
      if (frame.kind !== 'ping') received.push(frame);
      if (frame.kind !== 'request') continue;
      const {correlation} = frame;
      socket.write(encodeFrame({kind: 'answer', clock, correlation, body: {}}));
    }
  });
}

function linkContext(process: string, handlers: LinkHandlers): LinkContext {
  return {
    identity: {process, boot: `${process}-1`, zone: 'z'},
    clock: new HybridLogicalClock(),
    handlers,
    timings: {...DEFAULT_LINK_TIMEOUTS, keepaliveTimeoutMs: AMPLE_MS},
  };
}

async function failureOf(
  operation: Promise<unknown>,
): Promise<SapphiregladeError> {
  const error: unknown = await operation.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  if (error instanceof SapphiregladeError) return error;
  throw new Error('The operation did not fail as expected.', {cause: error});
}
