import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ErrorKind} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {ForwardedMessage} from '../../src/core/forwarding/messages.js';
import {
  encodeExecution,
  ForwardedKind,
} from '../../src/core/forwarding/messages.js';
import {MemberList} from '../../src/index.js';
import {LinkedProxy, REPLY, requestOf} from '../support/linked-proxy.js';
import {RawPeer} from '../support/raw-peer.js';

/** Time that the long request has, in milliseconds. */
const LONG_REQUEST_MS = 150;

/** Time after which its last segment arrives, in milliseconds. */
const TRANSIT_MS = 300;

/** Time in which a link that is given up closes, in milliseconds. */
const CLOSE_MS = 200;

/** Length of the value that makes a request long, in characters. */
const LONG_VALUE_CHARACTERS = 1_000_000;

describe('ForwardedRequestServer and a long request that arrives late', () => {
  let owner: LinkedProxy;
  let peer: RawPeer;

  beforeEach(async () => {
    const members = new MemberList(createSilentLogger());
    owner = new LinkedProxy('owner', members, () => ['owner']);
    await owner.service.start();
    peer = await RawPeer.open(owner.service.peerAddress);
    peer.request(1, shortRequest('r1'));
    await peer.response(1);
  });

  afterEach(async () => {
    peer.socket.destroy();
    await owner.service.stop();
  });

  async function sendLateRequest(): Promise<unknown> {
    const finish = peer.beginRequest(2, longRequest('w2'));
    await sleep(TRANSIT_MS);
    finish();
    return peer.response(2);
  }

  it('refuses the request', async () => {
    const response = await sendLateRequest();
    expect((response as {error?: unknown}).error).toEqual(
      ErrorKind.DeadlineUnreachable,
    );
    expect(owner.runner.ran.map(idOf)).toEqual(['r1']);
  });

  it('serves the short requests that overtook its segments', async () => {
    const finish = peer.beginRequest(2, longRequest('w2'));
    await sleep(TRANSIT_MS);
    peer.request(3, shortRequest('r3'));
    expect(rowsOf(await peer.response(3))).toEqual(REPLY.rows);
    finish();
    await peer.response(2);
  });

  it('serves a short request that is in time after it', async () => {
    await sendLateRequest();
    peer.request(3, shortRequest('r3'));
    expect(rowsOf(await peer.response(3))).toEqual(REPLY.rows);
  });

  it('keeps the link of the requests that are in time', async () => {
    await sendLateRequest();
    await sleep(CLOSE_MS);
    expect(peer.socket.readableEnded).toEqual(false);
    expect(peer.socket.destroyed).toEqual(false);
  });
});

function idOf({statement}: {statement: {requestId: string}}): string {
  return statement.requestId;
}

function rowsOf(response: unknown): unknown {
  return (response as {rows?: unknown}).rows;
}

function shortRequest(requestId: string): ForwardedMessage {
  const execution = encodeExecution(requestOf(requestId, true));
  return {kind: ForwardedKind.Statement, execution};
}

function longRequest(requestId: string): ForwardedMessage {
  const request = requestOf(requestId, false);
  request.values.set('shape', 'x'.repeat(LONG_VALUE_CHARACTERS));
  const deadlineMs = performance.now() + LONG_REQUEST_MS;
  const execution = encodeExecution({...request, deadlineMs});
  return {kind: ForwardedKind.Statement, execution};
}
