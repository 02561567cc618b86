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

/** Maximum size of a request body, in bytes; the store accepts 1 MB. */
const MAXIMUM_BODY_BYTES = 524_288;

/** Dependencies of the operator server. */
export interface OperatorServerDependencies {
  readonly holder: LatestConfiguration;
  readonly control: Pick<ControlPlane, 'inForce' | 'refresh'>;
  readonly acceptor: ChangeAcceptor;
  readonly status: StatusSources;
  /** Timeout of a change, in milliseconds; has a default. */
  readonly acceptanceTimeoutMs?: number;
  /** Register further routes; their requests are authenticated as well. */
  readonly extensions: ReadonlyArray<(app: FastifyInstance) => void>;
}

/** HTTP server of the operator API. */
export class OperatorServer extends SupervisedTask {
  private readonly server: FastifyInstance;
  private readonly operators = new WeakMap<FastifyRequest, string>();
  private readonly stopSignal = new ReplaySubject<void>(1);

  /**
   * @param context - Context shared by all tasks.
   * @param dependencies - Dependencies of the server.
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

  /** Completes the pending watch requests and closes the port. */
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
    const failure = toOperatorError(error);
    if (failure.kind === ErrorKind.Internal) {
      this.context
        .logs(LogPart.OperatorApi)
        .error('Request of an operator failed with an internal error.', {
          reason: failure.message,
        });
    }
    await sendOperatorError(reply, failure);
  }
}
