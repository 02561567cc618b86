import {connect} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  ErrorKind,
  ReadConsistency,
  SapphiregladeError,
  SessionValues,
} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import {ConfigurationHolder, Members} from '../../src/index.js';
import {NewsDesk} from '../../src/core/news/index.js';
import {ForwardingService} from '../../src/core/forwarding/index.js';
import type {GroupOwnership} from '../../src/core/ownership/index.js';
import type {ExecutionRequest} from '../../src/index.js';
import {
  PlacedTransaction,
  SessionTransaction,
  StatementRunner,
  StoreMirror,
} from '../../src/index.js';
import type {InstanceReply} from '../../src/index.js';

const GROUP = 'ledger';

const REPLY: InstanceReply = {
  rows: ['row'],
  signature: 'signed',
  refusal: undefined,
  state: 'idle',
  position: {term: 3, position: 9},
  report: undefined,
};

/** Runs nothing, and keeps what it was asked. */
class RecordingRunner extends StatementRunner {
  readonly ran: ExecutionRequest[] = [];
  readonly events: string[] = [];
  /** What happens when a statement runs. */
  answer: () => Promise<InstanceReply> = () => Promise.resolve(REPLY);

  override run(request: ExecutionRequest): Promise<InstanceReply> {
    this.ran.push(request);
    return this.answer();
  }

  override begin(): Promise<PlacedTransaction> {
    this.events.push('begin');
    return Promise.resolve(new RecordingTransaction(this));
  }
}

class RecordingTransaction extends PlacedTransaction {
  constructor(private readonly runner: RecordingRunner) {
    super();
  }

  override run(request: ExecutionRequest): Promise<InstanceReply> {
    this.runner.events.push(`run ${request.statement.requestId}`);
    return this.runner.answer();
  }

  override commit(): Promise<InstanceReply> {
    this.runner.events.push('commit');
    return this.runner.answer();
  }

  override rollBack(): void {
    this.runner.events.push('roll back');
  }
}

/** One proxy with its links; who owns the group is set by the test. */
class Proxy {
  readonly runner = new RecordingRunner();
  owns = true;
  /** Up to which revision it follows the store, if it does. */
  followed: number | undefined = 7;
  private readonly news = new NewsDesk(
    {mirror: new StoreMirror('members/'), revision: () => this.followed},
    {mirror: new StoreMirror('configuration'), revision: () => this.followed},
  );
  readonly service: ForwardingService;

  constructor(
    readonly name: string,
    members: Members,
    owners: () => readonly string[],
  ) {
    const ownership = {
      ownersOf: owners,
      isOwned: () => this.owns,
    } as Partial<GroupOwnership> as GroupOwnership;
    this.service = new ForwardingService({
      identity: {process: name, boot: `${name}-1`, zone: 'zone-0'},
      region: 'east',
      regionOf: () => 'east',
      listen: {host: '127.0.0.1', port: 0},
      ownership,
      members,
      configuration: new ConfigurationHolder(createSilentLogger()),
      primaryZoneOf: () => 'zone-0',
      local: this.runner,
      news: this.news,
      log: createSilentLogger(),
    });
  }
}

function publish(members: Members, {name, service}: Proxy): void {
  members.written({
    key: `sapphireglade/members/${name}`,
    value: Buffer.from(
      JSON.stringify({
        name,
        incarnation: `${name}-1`,
        availabilityZone: 'zone-0',
        peerAddress: service.peerAddress,
        capacity: 1,
        suspects: [],
      }),
    ),
    revision: 1,
    leaseId: 0,
  });
}

function requestOf(requestId: string, isRead: boolean): ExecutionRequest {
  const values = new SessionValues();
  values.set('colour', 'green');
  const nowMs = performance.now();
  return {
    statement: {
      requestId,
      isRead,
      awaitsReplica: !isRead,
      text: isRead ? 'FETCH 1' : 'STORE 1 a',
      prepared: undefined,
      parameters: '',
    },
    route: {
      database: 'books',
      group: GROUP,
      consistency: ReadConsistency.ReadYourWrites,
      maximumStalenessMs: 700,
      statementTimeoutMs: 1_000,
      targetLatencyMs: 800,
      priority: 1,
    },
    values,
    startedAtMs: nowMs,
    deadlineMs: nowMs + 1_000,
    queueDeadlineMs: nowMs + 600,
    ownCommit: {term: 2, position: 8},
  };
}

async function failureOf(work: Promise<unknown>): Promise<SapphiregladeError> {
  const error: unknown = await work.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  if (error instanceof SapphiregladeError) return error;
  throw new Error('It did not fail as expected.', {cause: error});
}

describe('ForwardingService', () => {
  let members: Members;
  let owners: string[];
  let entry: Proxy;
  let left: Proxy;
  let right: Proxy;
  let remote: StatementRunner;

  beforeEach(async () => {
    members = new Members(createSilentLogger());
    owners = ['left', 'right'];
    entry = new Proxy('entry', members, () => owners);
    left = new Proxy('left', members, () => owners);
    right = new Proxy('right', members, () => owners);
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

  /** Statements that both owners ran. */
  function ran(): ExecutionRequest[] {
    return [...left.runner.ran, ...right.runner.ran];
  }

  describe('a statement', () => {
    it('reaches one owner with its session, and its answer comes back whole', async () => {
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

    it('runs here if this proxy owns the group', async () => {
      await left.service.runnerFor(GROUP).run(requestOf('w1', false));
      expect(left.runner.ran.length).toEqual(1);
    });

    it('runs at another owner if it could not run here', async () => {
      const refusal = new SapphiregladeError(ErrorKind.NoPrimary, 'None.');
      left.runner.answer = () => Promise.reject(refusal);
      await left.service.runnerFor(GROUP).run(requestOf('w1', false));
      expect(right.runner.ran.length).toEqual(1);
    });

    it('waits for a moment until somebody owns the group', async () => {
      left.owns = false;
      right.owns = false;
      setTimeout(() => (right.owns = true), 100);
      expect(await remote.run(requestOf('w1', false))).toEqual(REPLY);
      expect(ran().length).toEqual(1);
    });

    it('goes to another owner if one does not own the group', async () => {
      left.owns = false;
      for (let count = 0; count < 10; count += 1) {
        await remote.run(requestOf(`w${count}`, false));
      }
      expect(left.runner.ran.length).toEqual(0);
      expect(right.runner.ran.length).toEqual(10);
    });

    it('counts as open work until it is answered, so that a stop waits for it', async () => {
      let finish: () => void = () => undefined;
      const answer = new Promise<InstanceReply>(resolve => {
        finish = () => resolve(REPLY);
      });
      for (const {runner} of [left, right]) runner.answer = () => answer;
      const reply = remote.run(requestOf('w1', false));
      await sleep(50);
      const openWork = (): number =>
        left.service.openGuestWork + right.service.openGuestWork;
      expect(openWork()).toEqual(1);
      finish();
      await reply;
      await sleep(10);
      expect(openWork()).toEqual(0);
    });

    it('goes to another owner if one is stopping', async () => {
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

    it('keeps the words of the owner for what the instance refused', async () => {
      const refusal = new SapphiregladeError(ErrorKind.RunFailed, 'It failed.');
      left.runner.answer = () => Promise.reject(refusal);
      right.runner.answer = left.runner.answer;
      const error = await failureOf(remote.run(requestOf('r1', true)));
      expect(error.kind).toEqual(ErrorKind.RunFailed);
      expect(ran().length).toEqual(1);
    });
  });

  describe('a lost link', () => {
    /** Makes both owners lose the link before they answer. */
    function loseAnswers(): void {
      for (const proxy of [left, right]) {
        proxy.runner.answer = async () => {
          await proxy.service.stop();
          return REPLY;
        };
      }
    }

    it('leaves a write in doubt, and nobody runs it again', async () => {
      loseAnswers();
      const error = await failureOf(remote.run(requestOf('w1', false)));
      expect(error.kind).toEqual(ErrorKind.OutcomeUnknown);
      await sleep(50);
      expect(ran().length).toEqual(1);
    });

    it('sends a read to another owner', async () => {
      left.runner.answer = async () => {
        await left.service.stop();
        return REPLY;
      };
      for (let count = 0; count < 10; count += 1) {
        expect(await remote.run(requestOf(`r${count}`, true))).toEqual(REPLY);
      }
    });

    it('says "not run" of a write whose owner cannot be reached', async () => {
      await left.service.stop();
      await right.service.stop();
      const error = await failureOf(remote.run(requestOf('w1', false)));
      expect(error.kind).toEqual(ErrorKind.NoOwner);
      expect(error.outcome).toEqual('not run');
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
      expect(left.service.openGuestWork).toEqual(0);
      expect(right.service.openGuestWork).toEqual(0);
    });

    it('is rolled back at the owner once its caller ends it', async () => {
      const transaction = begin();
      await transaction.run(requestOf('t1', false));
      transaction.rollBack();
      await sleep(50);
      expect(events()).toEqual(['begin', 'run t1', 'roll back']);
    });

    it('is rolled back at the owner when the entry proxy is gone', async () => {
      const transaction = begin();
      await transaction.run(requestOf('t1', false));
      await entry.service.stop();
      await sleep(50);
      expect(events()).toEqual(['begin', 'run t1', 'roll back']);
    });

    it('is lost, and not begun again, if its owner goes after the first statement', async () => {
      const transaction = begin();
      await transaction.run(requestOf('t1', false));
      await left.service.stop();
      await right.service.stop();
      const error = await failureOf(transaction.run(requestOf('t2', false)));
      expect(error.kind).toEqual(ErrorKind.TransactionLost);
    });

    it('is in doubt if the owner goes during the commit of a write', async () => {
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

    it('goes on at an owner that is stopping, and ends when that says so', async () => {
      const transaction = begin();
      await transaction.run(requestOf('t1', false));
      for (const {service} of [left, right]) service.drain();
      await transaction.run(requestOf('t2', false));
      for (const {service} of [left, right]) service.endGuestTransactions();
      const error = await failureOf(transaction.run(requestOf('t3', false)));
      expect(error.kind).toEqual(ErrorKind.TransactionLost);
      expect(events().at(-1)).toEqual('roll back');
    });
  });

  describe('an owner that was frozen', () => {
    it('does not run what came after its time, nor what is behind it', async () => {
      const write = requestOf('w1', false);
      // What the owner finds on waking: sent a while ago, and not as long after the link opened.
      await remote.run(requestOf('r1', true));
      await remote.run(requestOf('r2', true));
      const before = ran().length;
      const frozen = {...write, deadlineMs: performance.now() + 150};
      const until = performance.now() + 400;
      const sent = failureOf(remote.run(frozen));
      // Both owners stand in this process: the loop is blocked like a frozen one.
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
    it('ends its link and nothing else', async () => {
      const port = Number(left.service.peerAddress.split(':')[1]);
      const socket = connect({host: '127.0.0.1', port});
      // Twelve bytes that are no frame: a length, and then what is not CBOR.
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
