import type {CallerResponse, SqlValue} from '@sapphireglade/protocol';
import {SESSION_HEADER} from '@sapphireglade/protocol';
import {Pool} from 'undici';

/** Where a caller connects to, from where, and as whom. */
export interface CallerClientOptions {
  /** Origin of the proxy's caller port. */
  readonly origin: string;
  /** IP address from which connections are made. */
  readonly localAddress?: string;
  readonly caller: string;
  readonly key: string;
  /** Most sockets; requests past it wait. */
  readonly sockets?: number;
}

/** One statement of a caller. */
export interface CallerRequest {
  readonly group: string;
  readonly sql: string;
  readonly parameters: readonly SqlValue[];
  readonly access: 'read' | 'write';
  readonly idempotent?: boolean;
  readonly requestId?: string;
  readonly allowedAgeMs?: number;
  readonly deadlineMs?: number;
}

/** An answer with its status and session token. */
export interface CallerResult {
  readonly status: number;
  readonly answer: CallerResponse;
  /** The token for the next request of the session. */
  readonly session: string;
  readonly retryAfter: string | undefined;
}

/** How long an answer may take beyond the deadline, in milliseconds. */
const RESPONSE_MARGIN_MS = 2_000;
const DEFAULT_DEADLINE_MS = 5_000;
const DEFAULT_SOCKETS = 8;

/** Sends requests to one proxy as a caller does. */
export class CallerClient {
  private readonly pool: Pool;
  private readonly authorization: string;

  /** @param options - Where to connect to and as whom. */
  constructor(options: CallerClientOptions) {
    this.authorization = `Bearer ${options.caller}:${options.key}`;
    this.pool = new Pool(options.origin, {
      connections: options.sockets ?? DEFAULT_SOCKETS,
      localAddress: options.localAddress,
    });
  }

  /** Runs one statement. */
  run(statement: CallerRequest, session?: string): Promise<CallerResult> {
    const {deadlineMs} = statement;
    return this.post('/v1/statements', statement, session, deadlineMs);
  }

  /** Sends any request to the caller port. */
  async post(
    path: string,
    body: unknown,
    session?: string,
    deadlineMs = DEFAULT_DEADLINE_MS,
  ): Promise<CallerResult> {
    const response = await this.pool.request({
      path,
      method: 'POST',
      headers: {
        authorization: this.authorization,
        'content-type': 'application/json',
        ...(session === undefined ? {} : {[SESSION_HEADER]: session}),
      },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(deadlineMs + RESPONSE_MARGIN_MS),
    });
    const answer = (await response.body.json()) as CallerResponse;
    const {headers, statusCode: status} = response;
    return {
      status,
      answer,
      session: String(headers[SESSION_HEADER] ?? session ?? ''),
      retryAfter: headers['retry-after']?.toString(),
    };
  }

  /** Closes every socket. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }
}
