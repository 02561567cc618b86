import {connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ErrorKind,
  ReadConsistency,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {
  ExecutionRequest,
  InstanceReply,
  StatementRunner,
} from '../../src/index.js';
import {MemberList, SessionTransaction} from '../../src/index.js';
import {
  failureOf,
  GROUP,
  LinkedProxy,
  publish,
  REPLY,
  requestOf,
} from '../support/linked-proxy.js';

describe('ForwardingService', () => {
  let members: MemberList;
  let owners: string[];
  let entry: LinkedProxy;
  let left: LinkedProxy;
  let right: LinkedProxy;
  let remote: StatementRunner;

  beforeEach(async () => {
    members = new MemberList(createSilentLogger());
    owners = ['left', 'right'];
    entry = new LinkedProxy('entry', members, () => owners);
    left = new LinkedProxy('left', members, () => owners);
    right = new LinkedProxy('right', members, () => owners);
    entry.owns = false;
    for (const proxy of [entry, left, right]) {
      await proxy.service.start();
      publish(members, proxy);
    }
    remote = entry.service.runnerFor(GROUP);
  });

  afterEach(async () => {
    for (const {service} of [entry, left, right]) await service.stop();
  });

  /** Returns the statements that the owners ran. */
  function ran(): ExecutionRequest[] {
    return [...left.runner.ran, ...right.runner.ran];
  }

  describe('a statement', () => {
    it('reaches one owner with its session, and the whole answer is returned', async () => {
      const reply = await remote.run(requestOf('r1', true));
      expect(reply).toEqual(REPLY);
      expect(ran().length).toEqual(1);
      const [request] = ran();
      expect(request!.statement.text).toEqual('FETCH 1');
      expect([...request!.values.values]).toEqual([['colour', 'green']]);
      expect(request!.ownCommit).toEqual({term: 2, position: 8});
      expect(request!.route.consistency).toEqual(
        ReadConsistency.ReadYourWrites,
      );
    });

    it('runs on this proxy if it owns the group', async () => {
      await left.service.runnerFor(GROUP).run(requestOf('w1', false));
      expect(left.runner.ran.length).toEqual(1);
    });

    it('runs on another owner if this proxy could not run it', async () => {
      const refusal = new SapphiregladeError(ErrorKind.NoPrimary, 'None.');
      left.runner.answer = () => Promise.reject(refusal);
      await left.service.runnerFor(GROUP).run(requestOf('w1', false));
      expect(right.runner.ran.length).toEqual(1);
    });

    it('that writes is sent to an owner in the region of the primary', async () => {
      left.primaryZone = 'zone-far';
      publish(members, right, 'zone-far');
      await left.service.runnerFor(GROUP).run(requestOf('w1', false));
      expect(right.runner.ran.length).toEqual(1);
      await left.service.runnerFor(GROUP).run(requestOf('r1', true));
      expect(left.runner.ran.length).toEqual(1);
      await right.service.stop();
      // The owner must see the link close first; otherwise the outcome of the write would be unknown.
      await sleep(20);
      await left.service.runnerFor(GROUP).run(requestOf('w2', false));
      expect(left.runner.ran.length).toEqual(2);
    });

    it('waits briefly until a proxy owns the group', async () => {
      left.owns = false;
      right.owns = false;
      setTimeout(() => (right.owns = true), 100);
      expect(await remote.run(requestOf('w1', false))).toEqual(REPLY);
      expect(ran().length).toEqual(1);
    });

    it('is sent to another owner if one does not own the group', async () => {
      left.owns = false;
      for (let count = 0; count < 10; count += 1) {
        await remote.run(requestOf(`w${count}`, false));
      }
      expect(left.runner.ran.length).toEqual(0);
      expect(right.runner.ran.length).toEqual(10);
    });

    it('counts as active until it is answered, so that a stop waits for it', async () => {
      let finish: () => void = () => undefined;
      const answer = new Promise<InstanceReply>(resolve => {
        finish = () => resolve(REPLY);
      });
      for (const {runner} of [left, right]) runner.answer = () => answer;
      const reply = remote.run(requestOf('w1', false));
      await sleep(50);
      const activeCount = (): number =>
        left.service.activeForwardedCount + right.service.activeForwardedCount;
      expect(activeCount()).toEqual(1);
      finish();
      await reply;
      await sleep(10);
      expect(activeCount()).toEqual(0);
    });

    it('is sent to another owner if one is stopping', async () => {
      left.service.drain();
      for (let count = 0; count < 10; count += 1) {
        await remote.run(requestOf(`w${count}`, false));
      }
      expect(right.runner.ran.length).toEqual(10);
    });

    it('is refused as "not run" if there is no owner', async () => {
      owners = [];
      const error = await failureOf(remote.run(requestOf('r1', true)));
      expect(error.kind).toEqual(ErrorKind.NoOwner);
      expect(error.outcome).toEqual('not run');
      expect((error.retryAfterMs ?? 0) > 0).toEqual(true);
    });

    it('fails with the error of the owner if the instance refused it, without a retry', async () => {
      const refusal = new SapphiregladeError(ErrorKind.RunFailed, 'It failed.');
      left.runner.answer = () => Promise.reject(refusal);
      right.runner.answer = left.runner.answer;
      const error = await failureOf(remote.run(requestOf('r1', true)));
      expect(error.kind).toEqual(ErrorKind.RunFailed);
      expect(ran().length).toEqual(1);
    });
  });

  describe('a lost link', () => {
    /** Makes both owners close their links before they answer. */
    function loseAnswers(): void {
      for (const proxy of [left, right]) {
        proxy.runner.answer = async () => {
          await proxy.service.stop();
          return REPLY;
        };
      }
    }

    it('makes the outcome of a write unknown, and no owner runs it again', async () => {
      loseAnswers();
      const error = await failureOf(remote.run(requestOf('w1', false)));
      expect(error.kind).toEqual(ErrorKind.OutcomeUnknown);
      await sleep(50);
      expect(ran().length).toEqual(1);
    });

    it('retries a read at another owner', async () => {
      left.runner.answer = async () => {
        await left.service.stop();
        return REPLY;
      };
      for (let count = 0; count < 10; count += 1) {
        expect(await remote.run(requestOf(`r${count}`, true))).toEqual(REPLY);
      }
    });

    it('reports "not run" for a write if no owner can be reached', async () => {
      await left.service.stop();
      await right.service.stop();
      const error = await failureOf(remote.run(requestOf('w1', false)));
      expect(error.kind).toEqual(ErrorKind.NoOwner);
      expect(error.outcome).toEqual('not run');
    });
  });

  describe('a proxy whose owners do not answer', () => {
    it('is not ready to forward until one has answered again', async () => {
      owners = ['left'];
      expect(await remote.run(requestOf('r1', true))).toEqual(REPLY);
      expect(entry.service.hasReachableOwner(GROUP)).toEqual(true);
      await left.service.stop();
      await failureOf(remote.run(requestOf('r2', true)));
      expect(entry.service.hasReachableOwner(GROUP)).toEqual(false);
      owners = ['left', 'right'];
      expect(entry.service.hasReachableOwner(GROUP)).toEqual(true);
    });
  });

  describe('a transaction', () => {
    function begin(): SessionTransaction {
      return new SessionTransaction(false, requestOf('t', true).route, remote);
    }

    function events(): string[] {
      return [...left.runner.events, ...right.runner.events];
    }

    it('stays with the owner of its first statement', async () => {
      const transaction = begin();
      await transaction.run(requestOf('t1', true));
      await transaction.run(requestOf('t2', false));
      await transaction.commit(requestOf('t3', true));
      expect(events()).toEqual(['begin', 'run t1', 'run t2', 'commit']);
      expect(left.service.activeForwardedCount).toEqual(0);
      expect(right.service.activeForwardedCount).toEqual(0);
    });

    it('is rolled back at the owner once its caller ends it', async () => {
      const transaction = begin();
      await transaction.run(requestOf('t1', false));
      transaction.rollBack();
      await sleep(50);
      expect(events()).toEqual(['begin', 'run t1', 'roll back']);
    });

    it('is rolled back at the owner when the entry proxy stops', async () => {
      const transaction = begin();
      await transaction.run(requestOf('t1', false));
      await entry.service.stop();
      await sleep(50);
      expect(events()).toEqual(['begin', 'run t1', 'roll back']);
    });

    it('is lost, and not begun again, if its owner stops after the first statement', async () => {
      const transaction = begin();
      await transaction.run(requestOf('t1', false));
      await left.service.stop();
      await right.service.stop();
      const error = await failureOf(transaction.run(requestOf('t2', false)));
      expect(error.kind).toEqual(ErrorKind.TransactionLost);
    });

    it('has an unknown outcome if the owner stops during the commit of a write', async () => {
      const transaction = begin();
      await transaction.run(requestOf('t1', false));
      for (const proxy of [left, right]) {
        proxy.runner.answer = async () => {
          await proxy.service.stop();
          return REPLY;
        };
      }
      const error = await failureOf(transaction.commit(requestOf('t2', true)));
      expect(error.kind).toEqual(ErrorKind.OutcomeUnknown);
    });

    it('continues at an owner that is draining, until the owner ends open transactions', async () => {
      const transaction = begin();
      await transaction.run(requestOf('t1', false));
      for (const {service} of [left, right]) service.drain();
      await transaction.run(requestOf('t2', false));
      for (const {service} of [left, right]) service.endForwardedTransactions();
      const error = await failureOf(transaction.run(requestOf('t3', false)));
      expect(error.kind).toEqual(ErrorKind.TransactionLost);
      expect(events().at(-1)).toEqual('roll back');
    });
  });

  describe('a transaction with a running statement at an owner that ends transactions', () => {
    // Guards against statements that a stopping owner accepts and then cuts off.
    it('gets the answer to that statement and is rolled back after it', async () => {
      const events = (): string[] => [
        ...left.runner.events,
        ...right.runner.events,
      ];
      let finish: () => void = () => undefined;
      for (const {runner} of [left, right]) {
        runner.answer = () =>
          new Promise(resolve => {
            finish = () => resolve(REPLY);
          });
      }
      const {route} = requestOf('t1', false);
      const transaction = new SessionTransaction(false, route, remote);
      const running = transaction.run(requestOf('t1', false));
      while (!events().includes('run t1')) await sleep(1);
      for (const {service} of [left, right]) service.endForwardedTransactions();
      finish();
      expect(await running).toEqual(REPLY);
      const error = await failureOf(transaction.run(requestOf('t2', false)));
      expect(error.kind).toEqual(ErrorKind.TransactionLost);
      expect(events()).toEqual(['begin', 'run t1', 'roll back']);
    });
  });

  describe('a link that was opened for a relay request', () => {
    beforeEach(() => {
      owners = ['left'];
      entry.configuration.applyIfNewer({
        version: 1,
        routes: new Map(),
        groups: new Map([
          [
            GROUP,
            {name: GROUP, connectionLimit: 9, hasSynchronousReplication: true},
          ],
        ]),
        transactionIdleTimeoutMs: 1_000,
      });
    });

    it('serves the first statement even long after the link opened', async () => {
      const known = {members: undefined, configuration: undefined};
      await entry.service.requestRelay({kind: 'news', known});
      await sleep(300);
      const read = requestOf('r1', true);
      const urgent = {...read, deadlineMs: performance.now() + 250};
      expect(await remote.run(urgent)).toEqual(REPLY);
      expect(left.runner.ran.length).toEqual(1);
    });
  });

  describe('requests whose sender gave them up a moment ago', () => {
    // A transaction is lost with its link, also if the link is opened again.
    it('do not close the link that they share with others', async () => {
      owners = ['left'];
      const {route} = requestOf('t1', false);
      const transaction = new SessionTransaction(false, route, remote);
      await transaction.run(requestOf('t1', false));
      for (let index = 0; index < 20; index += 1) {
        const late = requestOf(`late-${index}`, true);
        const deadlineMs = performance.now() + 0.5;
        await remote.run({...late, deadlineMs}).catch(() => undefined);
      }
      await sleep(300);
      expect(entry.service.openLinkCount).toEqual(1);
      expect(await transaction.run(requestOf('t2', false))).toEqual(REPLY);
      expect(left.runner.events).toEqual(['begin', 'run t1', 'run t2']);
    });
  });

  describe('an owner that was frozen', () => {
    it('does not run a request that arrived after its deadline, nor the requests queued behind it', async () => {
      const write = requestOf('w1', false);
      // When it resumes, the owner finds a request that was sent a while ago, soon after the link opened.
      await remote.run(requestOf('r1', true));
      await remote.run(requestOf('r2', true));
      const before = ran().length;
      const frozen = {...write, deadlineMs: performance.now() + 150};
      const until = performance.now() + 400;
      const sent = failureOf(remote.run(frozen));
      // Both owners run in this process, so blocking the event loop freezes them.
      setImmediate(() => {
        while (performance.now() < until);
      });
      const error = await sent;
      expect(
        error.kind === ErrorKind.OutcomeUnknown || error.outcome === 'not run',
      ).toEqual(true);
      await sleep(100);
      expect(ran().length).toEqual(before);
    });
  });

  describe('a malformed message', () => {
    it('closes its link and nothing else', async () => {
      const port = Number(left.service.peerAddress.split(':')[1]);
      const socket = connect({host: '127.0.0.1', port});
      // Twelve bytes that are not a frame: a length, followed by data that is not CBOR.
      socket.write(Buffer.from([0, 0, 0, 8, 255, 1, 2, 3, 4, 5, 6, 7]));
      const hasClosed = await new Promise<boolean>(resolve => {
        socket.once('close', () => resolve(true));
        socket.on('error', () => undefined);
        socket.resume();
      });
      expect(hasClosed).toEqual(true);
      owners = ['left'];
      expect(await remote.run(requestOf('r1', true))).toEqual(REPLY);
    });
  });
});
