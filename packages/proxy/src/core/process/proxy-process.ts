import type {
  ExecutionResponse,
  ExecutionRequest,
  ObserveGroupRequest,
} from '@sapphireglade/protocol';
import {DEFAULT_LINK_TIMEOUTS} from '@sapphireglade/protocol';
import type {SupervisedTask} from '@sapphireglade/runtime';
import {LogPart, Supervisor, TaskGroup} from '@sapphireglade/runtime';
import type {Observable} from 'rxjs';
import {first} from 'rxjs';
import {CallerServer} from '../caller-api/index.js';
import {
  ChangeAcceptor,
  LatestConfiguration,
  ControlPlane,
} from '../configuration/index.js';
import {ReplicationLagTracker, WriteConfirmer} from '../confirmation/index.js';
import type {ProxyContext} from '../context/index.js';
import {
  RemoteObservations,
  StatementExecutor,
  TransactionTable,
} from '../execution/index.js';
import type {RequestExecutor} from '../failover/index.js';
import {
  FailoverTask,
  WriteHoldExecutor,
  WriteHolds,
} from '../failover/index.js';
import {InstrumentedRouter} from '../instrumentation/index.js';
import {MembershipTracker} from '../membership/index.js';
import {OperatorServer} from '../operator-api/index.js';
import {PeerDispatcher, PeerLinks} from '../peers/index.js';
import {registerProcessGauges} from '../gauges/index.js';
import {registerMetricsRoutes} from '../metrics/index.js';
import {OwnedInstances} from '../pool/index.js';
import {StatementRouter} from '../routing/index.js';
import {ConnectionShareTask} from '../shares/index.js';
import type {DrainableWork} from '../shutdown/index.js';
import {
  startsNewWork,
  waitUntilDrained,
  createStoppingResponse,
  InFlightRequests,
} from '../shutdown/index.js';
import {HttpPlatformStore, InstrumentedStore} from '../store/index.js';
import {registerTimelineRoutes} from '../timeline/index.js';
import {HttpUpstreamConnector} from '../upstream/index.js';
import {HttpVmDirectory} from '../vm-list/index.js';

/** Request types handled by the executor. */
const EXECUTION_REQUEST_TYPES: ReadonlyArray<ExecutionRequest['type']> = [
  'execute',
  'begin-transaction',
  'transaction-statement',
  'finish-transaction',
];

/** The proxy process: builds, starts and stops the supervisor tree. */
export class ProxyProcess {
  private readonly root: Supervisor;
  private readonly httpStore: HttpPlatformStore;
  private readonly store: InstrumentedStore;
  private readonly directory: HttpVmDirectory;
  private readonly configuration: LatestConfiguration;
  private readonly members: MembershipTracker;
  private readonly inFlightRequests = new InFlightRequests();
  private control: ControlPlane | undefined;
  private transactions: TransactionTable | undefined;
  private replicationLag: ReplicationLagTracker | undefined;
  private isStopping = false;

  /** @param context - Context shared by all tasks. */
  constructor(private readonly context: ProxyContext) {
    const {platform, address} = context.settings;
    registerProcessGauges(context);
    context.configuration
      .pipe(first(({revision}) => revision > 0))
      .subscribe(({revision}) =>
        context.events.record('process-ready', {revision}),
      );
    context.metrics.registerGauge('sapphireglade_ready', () => [
      {labels: {}, value: this.isReady() ? 1 : 0},
    ]);
    this.httpStore = new HttpPlatformStore(platform.storeUrl, address);
    this.store = new InstrumentedStore(this.httpStore, context.metrics);
    this.directory = new HttpVmDirectory(platform.vmListUrl, address);
    this.configuration = new LatestConfiguration(context);
    this.members = new MembershipTracker(context);
    this.root = new Supervisor(
      'proxy',
      [{name: 'traffic', create: () => this.createTraffic()}],
      context.logs(LogPart.Supervisor),
    );
    this.root.childFailures$.subscribe(({child, reason}) =>
      context.events.record('task-restarted', {task: child, reason}),
    );
  }

  /** Emits the error that ended the supervisor tree. */
  get failures$(): Observable<Error> {
    return this.root.failures$;
  }

  /** Starts all tasks; resolves when the ports are open. */
  async start(): Promise<void> {
    this.context.events.record('process-started', {version: '0.1.0'});
    await this.root.start();
    this.context.logs(LogPart.Process).info('Proxy started.');
  }

  /**
   * Stops the proxy: rejects new work, completes the work in progress, releases
   * the shares and closes the links, within the shutdown deadline of the
   * settings.
   */
  async stop(reason: string): Promise<void> {
    if (this.isStopping) return;
    this.isStopping = true;
    const {context} = this;
    const log = context.logs(LogPart.Process);
    context.events.record('process-stopping', {reason});
    log.info('Proxy is stopping.', {reason});
    this.control?.announceStop();
    const endAtMs = performance.now() + context.settings.shutdownDeadlineMs;
    const remainingMs = (): number => Math.max(0, endAtMs - performance.now());
    const interrupted = await waitUntilDrained(
      this.drainableWork(),
      remainingMs(),
    );
    if (interrupted > 0)
      log.warn('Shutdown deadline passed; work in progress was interrupted.', {
        count: interrupted,
      });
    await this.root.stop(remainingMs());
    this.control?.close();
    await this.httpStore.close();
  }

  /** Forwarded requests and transactions that are in progress. */
  private drainableWork(): DrainableWork {
    return {
      size: () => this.inFlightRequests.size + (this.transactions?.size ?? 0),
      lastArrivalAtMs: () => this.inFlightRequests.lastArrivalAtMs,
    };
  }

  /** Executes a forwarded request; during a stop, only continued work. */
  private async executeForwarded(
    request: ExecutionRequest,
    deadlineMs: number,
    executor: RequestExecutor,
  ): Promise<ExecutionResponse> {
    if (this.isStopping && startsNewWork(request)) {
      this.control?.announceStop();
      return createStoppingResponse(this.context.identity);
    }
    return executor.execute(request, deadlineMs);
  }

  /** Builds the mutually dependent tasks that process requests. */
  private createTraffic(): SupervisedTask {
    const {context} = this;
    const dispatcher = new PeerDispatcher(context.logs(LogPart.Link));
    const links = new PeerLinks(context, {
      identity: context.identity,
      clock: context.clock,
      handlers: dispatcher,
      timings: DEFAULT_LINK_TIMEOUTS,
    });
    const {store, members, inFlightRequests} = this;
    const control = this.createControlPlane(links, dispatcher);
    const shares = new ConnectionShareTask(context, {store, members});
    const {process: vm, boot} = context.identity;
    const connector = new HttpUpstreamConnector(
      `${vm}/${boot}`,
      context.settings.address,
    );
    const owned = new OwnedInstances(context, connector, shares);
    shares.setConnectionCounter((group, instance) =>
      owned.countConnections(group, instance),
    );
    const transactions = new TransactionTable(boot);
    this.transactions = transactions;
    const remoteObservations = new RemoteObservations(context, owned, links);
    dispatcher.register(['observe-group'], async request =>
      remoteObservations.answer(request as ObserveGroupRequest),
    );
    const writeHolds = new WriteHolds(context.groupViews);
    const executor = new WriteHoldExecutor(
      this.createExecutor(owned, transactions, remoteObservations),
      writeHolds,
    );
    const failover = new FailoverTask(context, {
      owned,
      links,
      dispatcher,
      writeHolds,
      store,
    });
    dispatcher.register(EXECUTION_REQUEST_TYPES, (request, _peer, deadlineMs) =>
      inFlightRequests.track(() =>
        this.executeForwarded(
          request as ExecutionRequest,
          deadlineMs,
          executor,
        ),
      ),
    );
    const router = new StatementRouter(context, executor, links);
    const callers = new CallerServer(
      context,
      new InstrumentedRouter(context, router),
      {isReady: () => this.isReady()},
    );
    const operators = this.createOperatorServer(control, shares);
    return new TaskGroup('traffic', [
      links,
      ...control.tasks,
      shares,
      owned,
      failover,
      callers,
      operators,
    ]);
  }

  /** Builds the executor that runs requests on the owned instances. */
  private createExecutor(
    owned: OwnedInstances,
    transactions: TransactionTable,
    remoteObservations: RemoteObservations,
  ): StatementExecutor {
    const {context} = this;
    const confirmer = new WriteConfirmer(
      context.observations,
      context.groupViews,
      context.events,
      (group, instance) =>
        void owned
          .watcher(group, instance)
          ?.probe()
          .catch(() => undefined),
    );
    this.replicationLag?.close();
    this.replicationLag = new ReplicationLagTracker(context.observations);
    return new StatementExecutor(
      context,
      owned,
      confirmer,
      this.replicationLag,
      transactions,
      remoteObservations,
    );
  }

  /** Builds the tasks that track configuration and membership. */
  private createControlPlane(
    links: PeerLinks,
    dispatcher: PeerDispatcher,
  ): ControlPlane {
    this.control?.close();
    this.control = new ControlPlane(this.context, {
      store: this.store,
      directory: this.directory,
      holder: this.configuration,
      members: this.members,
      links,
      dispatcher,
    });
    return this.control;
  }

  private createOperatorServer(
    control: ControlPlane,
    shares: ConnectionShareTask,
  ): OperatorServer {
    const {members, store} = this;
    return new OperatorServer(this.context, {
      holder: this.configuration,
      control,
      acceptor: new ChangeAcceptor(store),
      status: {
        members,
        shares,
        store,
        isReady: () => this.isReady(),
        isStopping: () => this.isStopping,
      },
      extensions: [
        app => registerTimelineRoutes(app, this.context.events),
        app => registerMetricsRoutes(app, this.context.metrics),
      ],
    });
  }

  private isReady(): boolean {
    return this.configuration.isKnown && !this.isStopping;
  }
}
