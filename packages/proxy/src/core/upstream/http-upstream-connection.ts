import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {
  BeginRequest,
  FinishRequest,
  FollowResponse,
  FollowRequest,
  GrantTermResponse,
  GrantTermRequest,
  InstanceStatus,
  PromoteRequest,
  StatementResponse,
  StatementRequest,
  InstanceWatchRequest,
} from '@sapphireglade/protocol';
import {
  followResponseSchema,
  grantTermResponseSchema,
  openResponseSchema,
  refusalSchema,
  statementResponseSchema,
  instanceStatusSchema,
} from '@sapphireglade/protocol';
import {Subject} from 'rxjs';
import type {Observable} from 'rxjs';
import {Client} from 'undici';
import type {z} from 'zod';
import type {UpstreamTarget} from './upstream-connection.js';
import {UpstreamConnection, UpstreamConnector} from './upstream-connection.js';
import {UpstreamRefusedError} from './upstream-refused-error.js';

/** Lowest HTTP status that carries a refusal. */
const FIRST_REFUSAL_STATUS = 400;

/** Time that the client keeps an idle connection open, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 600_000;

/** Upstream connection over one HTTP socket. */
export class HttpUpstreamConnection extends UpstreamConnection {
  private readonly closeEvents = new Subject<void>();
  private isClosed = false;
  private connectionId = '';

  /** @param client - The HTTP client; this connection closes it. */
  constructor(private readonly client: Client) {
    super();
    client.on('disconnect', () => this.onDisconnect());
  }

  get id(): string {
    return this.connectionId;
  }

  get closed$(): Observable<void> {
    return this.closeEvents;
  }

  get isOpen(): boolean {
    return !this.isClosed;
  }

  /**
   * Registers the connection at the instance.
   *
   * @param clientName - Name of this process in the instance's count.
   * @param timeoutMs - Timeout, in milliseconds.
   */
  async open(clientName: string, timeoutMs: number): Promise<void> {
    const body = {client: clientName};
    const response = await this.post(
      '/open',
      body,
      openResponseSchema,
      timeoutMs,
    );
    this.connectionId = response.connection;
  }

  statement(
    request: StatementRequest,
    timeoutMs: number,
  ): Promise<StatementResponse> {
    return this.post('/statement', request, statementResponseSchema, timeoutMs);
  }

  begin(request: BeginRequest, timeoutMs: number): Promise<StatementResponse> {
    return this.post('/begin', request, statementResponseSchema, timeoutMs);
  }

  commit(
    request: FinishRequest,
    timeoutMs: number,
  ): Promise<StatementResponse> {
    return this.post('/commit', request, statementResponseSchema, timeoutMs);
  }

  rollback(
    request: FinishRequest,
    timeoutMs: number,
  ): Promise<StatementResponse> {
    return this.post('/rollback', request, statementResponseSchema, timeoutMs);
  }

  watch(
    request: InstanceWatchRequest,
    timeoutMs: number,
  ): Promise<InstanceStatus> {
    return this.post('/watch', request, instanceStatusSchema, timeoutMs);
  }

  requestTerm(
    request: GrantTermRequest,
    timeoutMs: number,
  ): Promise<GrantTermResponse> {
    return this.post('/grant', request, grantTermResponseSchema, timeoutMs);
  }

  promote(request: PromoteRequest, timeoutMs: number): Promise<InstanceStatus> {
    return this.post('/promote', request, instanceStatusSchema, timeoutMs);
  }

  follow(request: FollowRequest, timeoutMs: number): Promise<FollowResponse> {
    return this.post('/follow', request, followResponseSchema, timeoutMs);
  }

  async close(): Promise<void> {
    this.onDisconnect();
    await this.client.destroy();
  }

  /** Sends one request and validates its response. */
  private async post<Schema extends z.ZodType>(
    path: string,
    body: unknown,
    schema: Schema,
    timeoutMs: number,
  ): Promise<z.infer<Schema>> {
    if (this.isClosed) throw closedBeforeSendingError();
    const response = await this.exchange(path, body, timeoutMs);
    if (response.status >= FIRST_REFUSAL_STATUS) {
      throw new UpstreamRefusedError(refusalSchema.parse(response.body));
    }
    return schema.parse(response.body);
  }

  /** Sends a request and reads its response; any failure closes the socket. */
  private async exchange(
    path: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<{status: number; body: unknown}> {
    try {
      const response = await this.client.request({
        path,
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(Math.max(1, Math.ceil(timeoutMs))),
      });
      return {status: response.statusCode, body: await response.body.json()};
    } catch (cause) {
      await this.close();
      throw new SapphiregladeError(
        ErrorKind.OutcomeUnknown,
        `The upstream did not answer ${path}.`,
        {cause},
      );
    }
  }

  private onDisconnect(): void {
    if (this.isClosed) return;
    this.isClosed = true;
    this.closeEvents.next();
    this.closeEvents.complete();
  }
}

/** Opens upstream connections over HTTP. */
export class HttpUpstreamConnector extends UpstreamConnector {
  /**
   * @param clientName - Name of this process in the instances' counts.
   * @param localAddress - Local IP address to connect from; any if omitted.
   */
  constructor(
    readonly clientName: string,
    private readonly localAddress?: string,
  ) {
    super();
  }

  async open(
    target: UpstreamTarget,
    timeoutMs: number,
  ): Promise<UpstreamConnection> {
    const client = new Client(`http://${target.address}:${target.port}`, {
      pipelining: 1,
      localAddress: this.localAddress,
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveMaxTimeout: KEEP_ALIVE_TIMEOUT_MS,
      connect: {timeout: timeoutMs},
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection = new HttpUpstreamConnection(client);
    try {
      await connection.open(this.clientName, timeoutMs);
      return connection;
    } catch (cause) {
      await connection.close();
      throw new SapphiregladeError(
        ErrorKind.NoConnection,
        'No connection to the upstream could be opened.',
        {cause},
      );
    }
  }
}

function closedBeforeSendingError(): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NoConnection,
    'The connection to the upstream was closed before the request was sent.',
    {outcome: Outcome.NotRun},
  );
}
