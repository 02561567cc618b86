import type {AddressInfo, Server, Socket} from 'node:net';
import {createServer} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import {HybridLogicalClock} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {LinkContext, LinkHandlers} from '../src/index.js';
import {DEFAULT_LINK_TIMEOUTS, Link, LinkDialer} from '../src/index.js';

/** A deadline that no request of a test reaches, in milliseconds. */
const AMPLE_MS = 20_000;

function linkContext(process: string, handlers: LinkHandlers): LinkContext {
  return {
    identity: {process, boot: `${process}-1`, zone: 'zone-0'},
    clock: new HybridLogicalClock(() => Date.now()),
    handlers,
    timings: DEFAULT_LINK_TIMEOUTS,
  };
}

describe('Link whose handler of notifications fails', () => {
  let server: Server;
  let dialer: LinkDialer;
  let sockets: Socket[];
  let kind: ErrorKind;

  beforeEach(async () => {
    sockets = [];
    // The peer reads each request, sends a notification and never responds.
    const peer: LinkHandlers = {
      onRequest: (_body, _peer, _deadlineMs, link) => {
        link.notify({});
        return new Promise(() => undefined);
      },
      onNotification: () => undefined,
    };
    server = createServer(socket => {
      sockets.push(socket);
      new Link(socket, linkContext('b', peer));
    });
    await new Promise<void>(resolve => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const {port} = server.address() as AddressInfo;
    const failing: LinkHandlers = {
      onRequest: () => Promise.resolve({}),
      onNotification: () => {
        throw new SapphiregladeError(kind, 'The notification failed.');
      },
    };
    const address = {address: '127.0.0.1', port};
    dialer = new LinkDialer(address, linkContext('a', failing));
  });

  afterEach(() => {
    dialer.stop();
    for (const socket of sockets) socket.destroy();
    server.close();
  });

  for (const each of [
    ErrorKind.Internal,
    ErrorKind.Overloaded,
    ErrorKind.MessageQueueFull,
  ]) {
    it(`with "${each}" leaves the outcome of requests that were sent unknown`, async () => {
      kind = each;
      const error: unknown = await dialer
        .request({}, AMPLE_MS)
        .catch((reason: unknown) => reason);
      expect(error instanceof SapphiregladeError).toEqual(true);
      expect((error as SapphiregladeError).outcome).toEqual(Outcome.Unknown);
    });
  }
});
