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

/** Rows of 25 MB; three such results are more than may wait on a link. */
const HUGE_ROWS = Array.from({length: 25}, () => 'x'.repeat(1_000_000));

/** Time in which the owner serves what it has read, in milliseconds. */
const SERVE_MS = 500;

/** A deadline that no request reaches, in milliseconds. */
const AMPLE_MS = 20_000;

describe('ForwardedRequestServer and results that wait for a slow link', () => {
  let owner: LinkedProxy;
  let peer: RawPeer;

  beforeEach(async () => {
    const members = new MemberList(createSilentLogger());
    owner = new LinkedProxy('owner', members, () => ['owner']);
    await owner.service.start();
    peer = await RawPeer.open(owner.service.peerAddress);
    owner.runner.answer = () => Promise.resolve({...REPLY, rows: HUGE_ROWS});
    peer.socket.pause();
    for (const correlation of [1, 2]) peer.request(correlation, readOf());
  });

  afterEach(async () => {
    peer.socket.destroy();
    await owner.service.stop();
  });

  it('rolls a transaction back if its first result cannot wait as well', async () => {
    peer.request(3, firstStatement());
    await sleep(SERVE_MS);
    peer.socket.resume();
    const {error} = (await peer.response(3)) as {error?: unknown};
    expect(error).toEqual(ErrorKind.RunFailed);
    expect(owner.runner.events).toEqual(['begin', 'run t1', 'roll back']);
  });
});

function readOf(): ForwardedMessage {
  return {kind: ForwardedKind.Statement, execution: executionOf('r')};
}

function firstStatement(): ForwardedMessage {
  return {
    kind: ForwardedKind.InTransaction,
    transaction: 1,
    isFirst: true,
    isReadOnly: false,
    isCommit: false,
    execution: executionOf('t1'),
  };
}

function executionOf(requestId: string): ReturnType<typeof encodeExecution> {
  const deadlineMs = performance.now() + AMPLE_MS;
  return encodeExecution({...requestOf(requestId, true), deadlineMs});
}
