import {afterEach, describe, it} from 'node:test';
import {
  setImmediate as nextTurn,
  setTimeout as sleep,
} from 'node:timers/promises';
import {
  PreparedStatementKind,
  PrimaryPhase,
  ReadConsistency,
  SessionValues,
  SessionBudget,
} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {
  ExecutionContext,
  Route,
  SessionContext,
  Statement,
} from '../../src/index.js';
import {
  CallerSession,
  DatabaseGroup,
  GatewayMetrics,
  InstancePool,
  readClocks,
  SessionTransaction,
  StatementExecutor,
  StatementKind,
} from '../../src/index.js';
import type {ObservedRun} from '../support/faulty-instance.js';
import {
  describeValues,
  FaultyInstance,
  PROMISES,
  seededRandom,
  TOO_LONG,
} from '../support/faulty-instance.js';
import {registeredInstance} from '../support/primary-change-context.js';

const GROUP = 'ledger';
const CALLERS = 5;
const CONNECTIONS = 3;
const STEPS = 150;

/** Time after which no command is pending, in milliseconds. */
const SETTLE_MS = 100;

/** Interval at which a pool replaces lost connections, in milliseconds. */
const UPKEEP_INTERVAL_MS = 2;

/** Shapes beyond the number that one connection holds. */
const MANY_SHAPES = 520;

/** What a caller may expect of one of its requests. */
interface Expectation {
  readonly run: Pick<ObservedRun, 'prepared' | 'parameters' | 'values'>;
  /** The caller's transaction, if one is open. */
  readonly transaction: string | undefined;
}

/** A caller with its own account of its session. */
class Caller {
  private session: CallerSession;
  private readonly values = new Map<string, string>();
  private readonly prepared = new Map<string, ObservedRun['prepared']>();
  private transaction: string | undefined;
  private writes: string[] = [];
  private count = 0;

  constructor(
    private readonly name: string,
    private readonly context: SessionContext,
    private readonly random: () => number,
    private readonly play: Play,
    private readonly shapes: number,
  ) {
    this.session = new CallerSession(context, 'books');
  }

  async step(): Promise<void> {
    const choice = this.random();
    if (choice < 0.03) return this.leave();
    const isIdle = this.transaction === undefined;
    if (choice > 0.9 && isIdle) return this.loseLink();
    if (choice < 0.15) return this.set();
    if (choice < 0.35) return this.prepare();
    if (choice < 0.5) return this.beginOrEnd();
    return this.execute();
  }

  disconnect(): void {
    this.session.end();
  }

  async execute(name = `s${this.pick(3)}`): Promise<void> {
    const requestId = this.nextId();
    const parameters = `item ${this.name}`;
    const prepared = this.prepared.get(name);
    const values = describeValues(this.values);
    this.play.expectations.set(requestId, {
      run: {prepared, parameters, values},
      transaction: this.transaction,
    });
    const kind = StatementKind.Execute;
    const isWrite = prepared?.kind === 'write';
    if (isWrite) this.writes.push(requestId);
    const failure = await this.send(requestId, {kind, name, parameters});
    if (this.transaction !== undefined && failure === undefined) return;
    if (this.transaction === undefined)
      this.settle(failure, isWrite ? [requestId] : []);
    else this.settle(failure, this.writes);
    this.writes = [];
  }

  async prepare(shape = this.pick(this.shapes)): Promise<void> {
    const name = `s${this.pick(3)}`;
    const preparedKind = this.random() < 0.5 ? 'read' : 'write';
    const suffix = this.random() < 0.05 ? ` ${TOO_LONG}` : '';
    const text = `q${shape} FETCH m${suffix}`;
    const kind = StatementKind.Prepare;
    const failure = await this.send(this.nextId(), {
      kind,
      name,
      preparedKind,
      shape: text,
    });
    if (failure !== undefined) return;
    this.prepared.set(name, {kind: preparedKind, shape: text});
  }

  private async set(): Promise<void> {
    const [name, value] = [`v${this.pick(4)}`, `${this.name}${this.pick(3)}`];
    const kind = StatementKind.SetValue;
    const failure = await this.send(this.nextId(), {kind, name, value});
    if (failure === undefined) this.values.set(name, value);
  }

  private async beginOrEnd(): Promise<void> {
    const id = this.nextId();
    if (this.transaction === undefined) {
      const kind = StatementKind.Begin;
      await this.send(id, {kind, isReadOnly: false});
      this.transaction = id;
      return;
    }
    const isCommit = this.random() < 0.6;
    const statement: Statement = isCommit
      ? {kind: StatementKind.Commit, text: 'COMMIT'}
      : {kind: StatementKind.Rollback, text: 'ROLLBACK'};
    const failure = await this.send(id, statement);
    this.transaction = undefined;
    this.settle(isCommit ? failure : 'transaction-lost', this.writes);
    this.writes = [];
  }

  /** Leaves, possibly while a statement runs, and connects anew. */
  private async leave(): Promise<void> {
    const running = this.execute();
    for (let turns = this.pick(8); turns > 0; turns -= 1) await nextTurn();
    this.session.end();
    await running;
    this.values.clear();
    this.prepared.clear();
    this.transaction = undefined;
    this.writes = [];
    this.session = new CallerSession(this.context, 'books');
  }

  /**
   * Runs a transaction over a link that is lost, at whatever the owner does at that
   * time: the owner rolls it back at once and again after the statement.
   */
  private async loseLink(): Promise<void> {
    const {route, executor, expectations, refused} = this.play;
    const transaction = new SessionTransaction(false, route, executor);
    const id = this.nextId();
    const values = new SessionValues();
    for (const [name, value] of this.values) values.set(name, value);
    for (let statement = this.pick(3); statement >= 0; statement -= 1) {
      const requestId = this.nextId();
      const prepared = {
        kind: PreparedStatementKind.Write,
        shape: `q${this.pick(this.shapes)} FETCH m`,
      };
      const parameters = `item ${this.name}`;
      const run = {prepared, parameters, values: describeValues(this.values)};
      expectations.set(requestId, {run, transaction: id});
      refused.push(requestId);
      const nowMs = performance.now();
      const running = transaction
        .run({
          statement: {
            requestId,
            isRead: false,
            awaitsReplica: false,
            text: undefined,
            prepared,
            parameters,
          },
          route,
          values,
          startedAtMs: nowMs,
          deadlineMs: nowMs + route.statementTimeoutMs,
          queueDeadlineMs: nowMs + route.statementTimeoutMs,
          ownCommit: undefined,
        })
        .catch(() => undefined);
      if (statement === 0) {
        for (let turns = this.pick(30); turns > 0; turns -= 1) await nextTurn();
        transaction.rollBack();
      }
      if ((await running) === undefined) break;
    }
    transaction.rollBack();
  }

  /** Sends a request and returns the kind of its failure, if it failed. */
  private async send(
    requestId: string,
    statement: Statement,
  ): Promise<string | undefined> {
    const reply = await this.session.handle({requestId, statement});
    if (reply.state === 'failed') {
      const id = this.nextId();
      const kind = StatementKind.Rollback;
      await this.session.handle({
        requestId: id,
        statement: {kind, text: 'ROLLBACK'},
      });
      this.settle(reply.failure?.kind, this.writes);
      this.writes = [];
      this.transaction = undefined;
    }
    return reply.failure?.kind;
  }

  private settle(failure: string | undefined, writes: string[]): void {
    if (failure === undefined) this.play.acknowledged.push(...writes);
    else if (PROMISES.has(failure)) this.play.refused.push(...writes);
  }

  private nextId(): string {
    this.count += 1;
    return `${this.name}.${this.count}`;
  }

  private pick(limit: number): number {
    return Math.floor(this.random() * limit);
  }
}

/** Callers whose sessions share the connections to one instance. */
class Play {
  readonly expectations = new Map<string, Expectation>();
  readonly acknowledged: string[] = [];
  readonly refused: string[] = [];
  readonly instance: FaultyInstance;
  readonly callers: Caller[];
  readonly route: Route;
  readonly executor: StatementExecutor;
  private readonly pool: InstancePool;
  private readonly upkeep: NodeJS.Timeout;

  constructor(seed: number, shapes: number) {
    const random = seededRandom(seed);
    const log = createSilentLogger();
    this.instance = new FaultyInstance(random);
    const registered = registeredInstance('ledger-0', GROUP);
    this.pool = new InstancePool(registered, this.instance, log);
    this.pool.setShare(CONNECTIONS);
    const group = new DatabaseGroup(GROUP);
    group.addMember(registered, this.pool);
    const phase = PrimaryPhase.Steady;
    const record = {term: 3, primary: 'ledger-0', phase};
    group.applyRecord({record, revision: 1});
    group.confirmRecord(readClocks());
    this.upkeep = setInterval(() => {
      group.confirmRecord(readClocks());
      this.pool.maintain();
      this.pool.rejectExpired();
    }, UPKEEP_INTERVAL_MS);
    this.executor = new StatementExecutor({
      groups: {getOrCreate: () => group},
      commitBoundProbe: {refresh: () => Promise.resolve()},
      lateUseLog: {record: () => undefined},
      region: 'east',
      regionOf: () => 'east',
      metrics: new GatewayMetrics(),
      log,
    } as unknown as ExecutionContext);
    this.route = {
      database: 'books',
      group: GROUP,
      consistency: ReadConsistency.Primary,
      maximumStalenessMs: 0,
      statementTimeoutMs: 2_000,
      targetLatencyMs: 2_000,
      priority: 0,
    };
    const context = {
      configuration: {
        current: {version: 1, routes: new Map([['books', this.route]])},
      },
      runnerFor: () => this.executor,
      // The executor is the one that refuses in these plays.
      sessionBudget: new SessionBudget(() => Infinity),
      canSend: () => true,
      answersByMs: () => Infinity,
      metrics: new GatewayMetrics(),
      log,
    } as unknown as SessionContext;
    this.callers = Array.from(
      {length: CALLERS},
      (_, index) => new Caller(`c${index}`, context, random, this, shapes),
    );
  }

  async run(steps: number): Promise<void> {
    const work = this.callers.map(async caller => {
      for (let step = 0; step < steps; step += 1) await caller.step();
      caller.disconnect();
    });
    await Promise.all(work);
    await sleep(SETTLE_MS);
  }

  close(): void {
    clearInterval(this.upkeep);
    this.pool.close('the test is over');
  }

  check(): void {
    // A connection that is neither idle nor closed is lost to all callers.
    expect(this.pool.idleCount).toEqual(this.pool.connections);
    const owners = new Map<number, string>();
    for (const run of this.instance.runs) this.checkRun(run, owners);
    const committed = new Set(this.instance.committed);
    expect(this.instance.committed.length).toEqual(committed.size);
    expect(this.refused.filter(id => committed.has(id))).toEqual([]);
    expect(this.acknowledged.filter(id => !committed.has(id))).toEqual([]);
  }

  /** Compares what ran with what its caller had prepared and set. */
  private checkRun(run: ObservedRun, owners: Map<number, string>): void {
    const expected = this.expectations.get(run.requestId);
    const {prepared, parameters, values} = run;
    expect({prepared, parameters, values}).toEqual(expected!.run);
    const {requestId, transaction} = run;
    const isOpen = transaction !== undefined;
    const shouldBeOpen = expected!.transaction !== undefined;
    expect({requestId, isOpen}).toEqual({requestId, isOpen: shouldBeOpen});
    if (transaction === undefined) return;
    const owner = owners.get(transaction) ?? expected!.transaction!;
    owners.set(transaction, owner);
    expect(expected!.transaction).toEqual(owner);
  }
}

describe(
  'sessions that share connections to an instance',
  {timeout: 120_000},
  () => {
    let current: Play;

    afterEach(() => current.close());

    for (let seed = 1; seed <= 12; seed += 1) {
      it(`run what they prepared while commands fail, seed ${seed}`, async () => {
        current = new Play(seed, 6);
        current.instance.faultShare = 0.08;
        await current.run(STEPS);
        current.check();
        expect(current.instance.runs.length > 100).toEqual(true);
      });
    }

    for (const seed of [101, 102, 103]) {
      it(`run what they prepared when connections are cleared, seed ${seed}`, async () => {
        current = new Play(seed, MANY_SHAPES);
        for (let shape = 0; shape < MANY_SHAPES; shape += 1) {
          await current.callers[0]!.prepare(shape);
          await current.callers[0]!.execute();
        }
        current.instance.faultShare = 0.02;
        await current.run(STEPS);
        current.check();
        expect(current.instance.resets.length > 0).toEqual(true);
      });
    }
  },
);
