import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import type {
  FollowResponse,
  FollowRequest,
  InstanceStatus,
  OpenResponse,
  OpenRequest,
  PromoteRequest,
  InstanceWatchRequest,
} from '@sapphireglade/protocol';
import {
  beginRequestSchema,
  finishRequestSchema,
  followRequestSchema,
  grantTermRequestSchema,
  openRequestSchema,
  promoteRequestSchema,
  statementRequestSchema,
  RefusalReason,
  instanceWatchRequestSchema,
} from '@sapphireglade/protocol';
import {comparePositions} from '@sapphireglade/decisions';
import {firstValueFrom, merge, Subject, timer} from 'rxjs';
import type {z} from 'zod';
import type {RequestOrigin, Route} from '../http/index.js';
import {FaultInjectingHttpService, createPostRoute} from '../http/index.js';
import {ConnectionRegistry} from './connection-registry.js';
import {Follower} from './follower.js';
import {InstanceState} from './instance-state.js';
import {RefusalError} from './refusal-error.js';
import {
  historyRequestSchema,
  replicateRequestSchema,
} from './replication-schemas.js';
import {ReplicationSource} from './replication-source.js';
import type {InstanceSettings, InstanceTuning} from './settings.js';
import {tuningChangeSchema} from './settings.js';
import {SlotQueue} from './slot-queue.js';
import {StatementRunner} from './statement-runner.js';

/**
 * In-memory database instance that implements the published upstream protocol.
 *
 * The control port also serves `GET /log` (all log entries, term changes and
 * write runs), `GET /status`, `GET /statements` (number of statements and
 * transactions received), `GET /connections` (connection counters) and
 * `PUT /tuning`.
 */
export class DatabaseInstance {
  private readonly state: InstanceState;
  private readonly slots: SlotQueue;
  private readonly connectionRegistry: ConnectionRegistry;
  private readonly statementRunner: StatementRunner;
  private readonly follower: Follower;
  private readonly source: ReplicationSource;
  private readonly service: FaultInjectingHttpService;
  private readonly tuned$ = new Subject<void>();
  private tuning: InstanceTuning;

  /** @param settings - Addresses, limits and service times. */
  constructor(private readonly settings: InstanceSettings) {
    const tuning = (): InstanceTuning => this.tuning;
    this.tuning = settings.tuning;
    this.state = new InstanceState(settings.primary, settings.voters);
    this.slots = new SlotQueue(settings.slots);
    this.connectionRegistry = new ConnectionRegistry(settings.connectionLimit);
    this.statementRunner = new StatementRunner(this.state, this.slots, tuning);
    this.follower = new Follower({settings, state: this.state, tuning});
    this.source = new ReplicationSource(this.state);
    this.service = new FaultInjectingHttpService({
      ...settings,
      routes: this.createRoutes(),
      controlRoutes: this.createControlRoutes(),
    });
  }

  /** Opens the ports and, on a replica, starts to replicate. */
  async start(): Promise<void> {
    await this.service.start();
    await this.follower.resume();
  }

  /** Stops replication and closes the ports. */
  async stop(): Promise<void> {
    await this.follower.stop();
    await this.service.stop();
  }

  private createRoutes(): Route[] {
    const {statementRunner: runner, state, source} = this;
    return [
      createPostRoute('/open', openRequestSchema, (body, origin) =>
        this.open(body, origin),
      ),
      this.route('/statement', statementRequestSchema, (body, {socket}) =>
        runner.run(body, socket),
      ),
      this.route('/begin', beginRequestSchema, (body, {socket}) =>
        this.begin(body, socket),
      ),
      this.route('/commit', finishRequestSchema, (body, {socket}) =>
        runner.commit(body, socket),
      ),
      this.route('/rollback', finishRequestSchema, (body, {socket}) =>
        runner.rollback(body, socket),
      ),
      this.route('/watch', instanceWatchRequestSchema, body =>
        this.watch(body),
      ),
      this.route('/grant', grantTermRequestSchema, body => state.grant(body)),
      this.route('/promote', promoteRequestSchema, body => this.promote(body)),
      this.route('/follow', followRequestSchema, body => this.follow(body)),
      createPostRoute('/replicate', replicateRequestSchema, body =>
        source.replicate(body),
      ),
      createPostRoute('/history', historyRequestSchema, ({term}) => {
        state.assertLeading(term);
        const {last, termStarts} = state.database.log;
        return {last, termStarts};
      }),
    ];
  }

  private createControlRoutes(): Route[] {
    return [
      {
        method: 'GET',
        path: '/log',
        handle: () => ({
          entries: this.state.database.log.listEntries(),
          termEvents: this.state.termEvents,
          runs: [...this.statementRunner.runs],
        }),
      },
      {method: 'GET', path: '/status', handle: () => this.status()},
      {
        method: 'GET',
        path: '/statements',
        handle: () => ({count: this.statementRunner.statements}),
      },
      {
        method: 'GET',
        path: '/connections',
        handle: () => this.connectionRegistry.counts(),
      },
      {
        ...createPostRoute('/tuning', tuningChangeSchema, async change => {
          this.tuning = {...this.tuning, ...change};
          this.tuned$.next();
          // A pending pull still uses the previous lag, so restart it.
          await this.follower.resume();
          return this.tuning;
        }),
        method: 'PUT',
      },
    ];
  }

  /** Creates a route that requires an open connection. */
  private route<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
    handle: (body: z.infer<Schema>, origin: RequestOrigin) => unknown,
  ): Route {
    return createPostRoute(path, schema, (body, origin) => {
      this.assertConnectionOpen(origin.socket);
      return handle(body, origin);
    });
  }

  private async open(
    {client}: OpenRequest,
    {socket}: RequestOrigin,
  ): Promise<OpenResponse> {
    const connection = this.connectionRegistry.open(socket, client);
    if (connection === undefined) {
      throw this.state.refuse(
        RefusalReason.TooManyConnections,
        `The limit of ${this.settings.connectionLimit} connections is reached.`,
      );
    }
    socket.once('close', () => this.releaseConnection(socket));
    if (socket.destroyed) this.releaseConnection(socket);
    await sleep(this.settings.openMs);
    return {connection: connection.id};
  }

  private releaseConnection(socket: Socket): void {
    this.connectionRegistry.close(socket);
    this.statementRunner.abandon(socket);
  }

  private assertConnectionOpen(socket: Socket): void {
    if (this.connectionRegistry.find(socket) !== undefined) return;
    throw this.state.refuse(
      RefusalReason.NotOpened,
      'The first request on a socket must be POST /open.',
    );
  }

  /** Begins a transaction unless the instance is stopping. */
  private begin(
    body: z.infer<typeof beginRequestSchema>,
    socket: Socket,
  ): unknown {
    if (!this.tuning.stopping) return this.statementRunner.begin(body, socket);
    throw this.state.refuse(
      RefusalReason.Stopping,
      'The instance accepts no new transaction because it is stopping.',
    );
  }

  private async watch(request: InstanceWatchRequest): Promise<InstanceStatus> {
    const deadline = performance.now() + request.timeoutMs;
    const {stopping} = this.tuning;
    for (;;) {
      const remainingMs = deadline - performance.now();
      const hasChanged =
        comparePositions(this.state.position, request.after) > 0 ||
        this.state.grantedTerm !== request.grantedTerm ||
        this.tuning.stopping !== stopping;
      if (hasChanged || remainingMs <= 0) return this.status();
      const wakeUp$ = merge(
        this.state.changes$,
        this.tuned$,
        timer(remainingMs),
      );
      await firstValueFrom(wakeUp$);
    }
  }

  private promote(request: PromoteRequest): InstanceStatus {
    const {term, replicas, voterSets} = request;
    this.state.promote(term, replicas, voterSets);
    return this.status();
  }

  private async follow({
    term,
    primary,
    voterSets,
  }: FollowRequest): Promise<FollowResponse> {
    try {
      const droppedEntries = await this.follower.follow(
        term,
        primary,
        voterSets,
      );
      this.statementRunner.abandonWrites();
      return {droppedEntries, position: this.state.position};
    } catch (error) {
      if (error instanceof RefusalError) throw error;
      throw this.state.refuse(
        RefusalReason.Invalid,
        'The primary could not be reached.',
      );
    }
  }

  private status(): InstanceStatus {
    const {state} = this;
    const counts = this.connectionRegistry.counts();
    return {
      instance: this.settings.instance,
      group: this.settings.group,
      role: state.role,
      term: state.term,
      grantedTerm: state.grantedTerm,
      position: state.position,
      termStarts: state.database.log.latestTermStarts,
      replicas: state.replicas,
      connections: counts.open,
      connectionsByClient: {...counts.byClient},
      slotsBusy: this.slots.busyCount,
      slotsWaiting: this.slots.waitingCount,
      stopping: this.tuning.stopping,
      ...state.keptVoterSets,
    };
  }
}
