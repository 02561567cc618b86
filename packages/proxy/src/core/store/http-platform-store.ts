import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {
  GetResponse,
  LeaseResponse,
  LeaseRequest,
  CompareAndSwapResponse,
  CompareAndSwapRequest,
} from '@sapphireglade/protocol';
import {
  getResponseSchema,
  leaseResponseSchema,
  listResponseSchema,
  compareAndSwapResponseSchema,
} from '@sapphireglade/protocol';
import {Pool} from 'undici';
import type {z} from 'zod';
import {PlatformStore} from './platform-store.js';

/** Maximum number of sockets to the store. */
const MAXIMUM_SOCKETS = 4;

/** Response timeout in addition to the requested wait, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000;

const OK_STATUS = 200;
const TOO_MANY_REQUESTS_STATUS = 429;

/** Advised retry delay after the store limited the rate, in milliseconds. */
const RATE_LIMIT_RETRY_AFTER_MS = 500;

/** Client for the platform's key-value store over HTTP. */
export class HttpPlatformStore extends PlatformStore {
  private readonly pool: Pool;

  /**
   * @param origin - Origin of the store, for example `http://10.0.0.1:7000`.
   * @param localAddress - Local IP address to connect from; any if omitted.
   */
  constructor(origin: string, localAddress?: string) {
    super();
    this.pool = new Pool(origin, {connections: MAXIMUM_SOCKETS, localAddress});
  }

  get(key: string): Promise<GetResponse> {
    return this.post('/get', {key}, getResponseSchema);
  }

  compareAndSwap(
    request: CompareAndSwapRequest,
  ): Promise<CompareAndSwapResponse> {
    return this.post(
      '/compare-and-swap',
      request,
      compareAndSwapResponseSchema,
    );
  }

  delete(
    key: string,
    expectedVersion: number,
  ): Promise<CompareAndSwapResponse> {
    return this.post(
      '/delete',
      {key, expectedVersion},
      compareAndSwapResponseSchema,
    );
  }

  async list(prefix: string): Promise<readonly string[]> {
    const answer = await this.post('/list', {prefix}, listResponseSchema);
    return answer.keys;
  }

  watch(
    key: string,
    afterVersion: number,
    timeoutMs: number,
  ): Promise<GetResponse> {
    const body = {key, afterVersion, timeoutMs};
    return this.post('/watch', body, getResponseSchema, timeoutMs);
  }

  acquireLease(request: LeaseRequest): Promise<LeaseResponse> {
    return this.post('/acquire-lease', request, leaseResponseSchema);
  }

  releaseLease(request: LeaseRequest): Promise<LeaseResponse> {
    return this.post('/release-lease', request, leaseResponseSchema);
  }

  /** Closes the sockets. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async post<Schema extends z.ZodType>(
    path: string,
    body: unknown,
    schema: Schema,
    waitMs = 0,
  ): Promise<z.infer<Schema>> {
    try {
      const response = await this.pool.request({
        path,
        method: 'POST',
        headers: {'content-type': 'application/json'},
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(waitMs + RESPONSE_TIMEOUT_MS),
      });
      const answer: unknown = await response.body.json();
      if (response.statusCode === TOO_MANY_REQUESTS_STATUS)
        throw rateLimitedError();
      if (response.statusCode !== OK_STATUS) {
        throw new Error(`The store answered ${response.statusCode}.`);
      }
      return schema.parse(answer);
    } catch (cause) {
      if (cause instanceof SapphiregladeError) throw cause;
      throw new SapphiregladeError(
        ErrorKind.StoreUnavailable,
        `The store did not answer ${path}.`,
        {cause, outcome: wasNotSent(cause) ? Outcome.NotRun : Outcome.Unknown},
      );
    }
  }
}

/** Creates the error for a call that the store rejected and did not run. */
function rateLimitedError(): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.StoreUnavailable,
    'The store rejected the call because of its rate limit.',
    {outcome: Outcome.NotRun, retryAfterMs: RATE_LIMIT_RETRY_AFTER_MS},
  );
}

/** Whether nothing was sent because no connection was opened. */
function wasNotSent(cause: unknown): boolean {
  const code = (cause as {code?: unknown} | null)?.code;
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT';
}
