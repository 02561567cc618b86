import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {LogPart, SupervisedTask} from '@sapphireglade/runtime';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {fastify} from 'fastify';
import {ReplaySubject} from 'rxjs';
import type {
  ChangeAcceptor,
  LatestConfiguration,
  ControlPlane,
} from '../configuration/index.js';
import type {ProxyContext} from '../context/index.js';
import {OperatorAuthenticator} from './operator-authenticator.js';
import {sendOperatorError, toOperatorError} from './operator-errors.js';
import {ACCEPTANCE_TIMEOUT_MS, ResourceChanges} from './resource-changes.js';
import {registerResourceRoutes} from './resource-routes.js';
import type {StatusSources} from './status-report.js';
import {describeStatus} from './status-report.js';

/** Longest body of a request, in bytes; the store takes a megabyte. */
const MAXIMUM_BODY_BYTES = 524_288;

/** What the server for operators works with. */
export interface OperatorServerDependencies {
  readonly holder: LatestConfiguration;
  readonly control: Pick<ControlPlane, 'inForce' | 'refresh'>;
  readonly acceptor: ChangeAcceptor;
  readonly status: StatusSources;
  /** How long a change may take, in milliseconds; a default if left out. */
  readonly acceptanceTimeoutMs?: number;
  /** Adds the routes of other parts; their requests are authenticated too. */
  readonly extensions: ReadonlyArray<(app: FastifyInstance) => void>;
}

/** Serves operators over HTTP. */
export class OperatorServer extends SupervisedTask {
  private readonly server: FastifyInstance;
  private readonly operators = new WeakMap<FastifyRequest, string>();
  private readonly stopSignal = new ReplaySubject<void>(1);

  /**
   * @param context - What every task may use.
   * @param dependencies - What the server works with.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly dependencies: OperatorServerDependencies,
  ) {
    super('operator-server');
    this.server = fastify({
      bodyLimit: MAXIMUM_BODY_BYTES,
      forceCloseConnections: 'idle',
    });
    this.addAuthentication();
    this.server.setErrorHandler((error, _request, reply) =>
      this.replyWithError(error, reply),
    );
    this.addRoutes();
  }

  /** Opens the operator port. */
  protected async onStart(): Promise<void> {
    const {address, operatorPort} = this.context.settings;
    try {
      await this.server.listen({host: address, port: operatorPort});
    } catch (cause) {
      throw new SapphiregladeError(
        ErrorKind.ListenFailed,
        `The operator port ${address}:${operatorPort} cannot be opened.`,
        {cause},
      );
    }
  }

  /** Ends the waiting watches and closes the port. */
  protected async onStop(): Promise<void> {
    this.stopSignal.next();
    await this.server.close();
  }

  private addAuthentication(): void {
    const {operators} = this.context.settings;
    const authenticator = new OperatorAuthenticator(operators);
    this.server.addHook('onRequest', async request => {
      const {authorization} = request.headers;
      const name = await authenticator.authenticate(authorization);
      this.operators.set(request, name);
    });
  }

  private addRoutes(): void {
    const {context, server} = this;
    const {holder, control, acceptor, status, extensions} = this.dependencies;
    const {acceptanceTimeoutMs = ACCEPTANCE_TIMEOUT_MS} = this.dependencies;
    registerResourceRoutes(server, {
      context,
      holder,
      control,
      changes: new ResourceChanges(
        context,
        acceptor,
        () => control.refresh(),
        acceptanceTimeoutMs,
      ),
      stop$: this.stopSignal,
      operatorOf: request => this.operators.get(request) ?? '',
    });
    server.get('/v1/status', async () =>
      describeStatus(context, status, await control.inForce()),
    );
    for (const extend of extensions) extend(server);
  }

  private async replyWithError(
    error: unknown,
    reply: FastifyReply,
  ): Promise<void> {
    const known = toOperatorError(error);
    if (known.kind === ErrorKind.Internal) {
      this.context
        .logs(LogPart.OperatorApi)
        .error('A request of an operator failed.', {reason: known.message});
    }
    await sendOperatorError(reply, known);
  }
}
