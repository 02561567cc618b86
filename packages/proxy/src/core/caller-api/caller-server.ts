import {
  EMPTY_SESSION,
  ErrorKind,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import {LogPart, SupervisedTask} from '@sapphireglade/runtime';
import type {FastifyInstance, FastifyReply, FastifyRequest} from 'fastify';
import {fastify} from 'fastify';
import type {ProxyContext} from '../context/index.js';
import type {RequestRouter} from '../instrumentation/index.js';
import {sendErrorResponse} from './responses.js';
import {CallerAuthenticator} from './caller-authenticator.js';
import {CallerRoutes} from './caller-routes.js';
import {resolveRequestId} from './request-input.js';
import type {Readiness} from './readiness.js';

/** Maximum size of a request body, in bytes. */
const MAXIMUM_BODY_BYTES = 1_048_576;

/** Maximum length of a transaction handle in a path, in characters. */
const MAXIMUM_HANDLE_LENGTH = 1_024;

const OK_STATUS = 200;
const UNAVAILABLE_STATUS = 503;

/** HTTP server of the caller API. */
export class CallerServer extends SupervisedTask {
  private readonly server: FastifyInstance;

  /**
   * @param context - Context shared by all tasks.
   * @param router - Routes requests to owners.
   * @param readiness - Reports whether this proxy accepts requests.
   */
  constructor(
    private readonly context: ProxyContext,
    router: RequestRouter,
    private readonly readiness: Readiness,
  ) {
    super('caller-server');
    this.server = fastify({
      bodyLimit: MAXIMUM_BODY_BYTES,
      return503OnClosing: false,
      routerOptions: {maxParamLength: MAXIMUM_HANDLE_LENGTH},
    });
    this.server.setErrorHandler((error, request, reply) =>
      this.replyWithError(error, request, reply),
    );
    this.server.addHook('onSend', async (_request, reply) => {
      if (!this.readiness.isReady()) reply.header('connection', 'close');
    });
    this.addHealthRoutes();
    const routes = new CallerRoutes(
      context,
      router,
      new CallerAuthenticator(context),
      readiness,
    );
    routes.register(this.server);
  }

  /** Opens the caller port. */
  protected async onStart(): Promise<void> {
    const {address, callerPort} = this.context.settings;
    try {
      await this.server.listen({host: address, port: callerPort});
    } catch (cause) {
      throw new SapphiregladeError(
        ErrorKind.ListenFailed,
        `The caller port ${address}:${callerPort} cannot be opened.`,
        {cause},
      );
    }
  }

  /** Closes the port after the requests in progress have ended. */
  protected async onStop(): Promise<void> {
    await this.server.close();
  }

  private addHealthRoutes(): void {
    this.server.get('/healthz', async () => ({status: 'alive'}));
    this.server.get('/readyz', async (_request, reply) => {
      const isReady = this.readiness.isReady();
      return reply
        .status(isReady ? OK_STATUS : UNAVAILABLE_STATUS)
        .send({status: isReady ? 'ready' : 'not ready'});
    });
  }

  /** Sends an error response for any error thrown by a route. */
  private async replyWithError(
    error: unknown,
    request: FastifyRequest,
    reply: FastifyReply,
  ): Promise<void> {
    const failure = toSapphiregladeError(error);
    if (failure.kind === ErrorKind.Internal) {
      this.context
        .logs(LogPart.CallerApi)
        .error('Request of a caller failed with an internal error.', {
          reason: failure.message,
        });
    }
    const context = {
      requestId: resolveRequestId(request.body),
      group: '',
      proxy: this.context.settings.vm,
      session: EMPTY_SESSION,
      sessionSecrets: this.context.settings.sessionSecrets,
    };
    await sendErrorResponse(reply, context, failure);
  }
}

/** Converts an error thrown by fastify or a route to a SapphiregladeError. */
function toSapphiregladeError(error: unknown): SapphiregladeError {
  if (error instanceof SapphiregladeError) return error;
  const {code, statusCode, message} = error as {
    code?: string;
    statusCode?: number;
    message?: string;
  };
  const text = message ?? 'The request failed.';
  if (code === 'FST_ERR_CTP_BODY_TOO_LARGE') {
    return new SapphiregladeError(ErrorKind.BodyTooLarge, text);
  }
  const isInput = statusCode !== undefined && statusCode < 500;
  return new SapphiregladeError(
    isInput ? ErrorKind.InvalidInput : ErrorKind.Internal,
    text,
    {cause: error},
  );
}
