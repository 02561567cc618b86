import type {CallerResponse, SqlValue} from '@sapphireglade/protocol';
import {SESSION_HEADER} from '@sapphireglade/protocol';
import {Pool} from 'undici';

/** Addresses and credentials of a caller. */
export interface CallerClientOptions {
  /** Origin of the proxy's caller port. */
  readonly origin: string;
  /** Local IP address of the connections. */
  readonly localAddress?: string;
  readonly caller: string;
  readonly key: string;
  /** Maximum number of sockets; further requests wait. */
  readonly sockets?: number;
}

/** Statement of a caller. */
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

/** Response with its HTTP status and session token. */
export interface CallerResult {
  readonly status: number;
  readonly answer: CallerResponse;
  /** Session token to send with the next request of the session. */
  readonly session: string;
  readonly retryAfter: string | undefined;
}

/** Time allowed for a response beyond the deadline, in milliseconds. */
const RESPONSE_MARGIN_MS = 2_000;
const DEFAULT_DEADLINE_MS = 5_000;
const DEFAULT_SOCKETS = 8;

/** Client of a proxy's caller interface. */
export class CallerClient {
  private readonly pool: Pool;
  private readonly authorization: string;

  /** @param options - Addresses and credentials. */
  constructor(options: CallerClientOptions) {
    this.authorization = `Bearer ${options.caller}:${options.key}`;
    this.pool = new Pool(options.origin, {
      connections: options.sockets ?? DEFAULT_SOCKETS,
      localAddress: options.localAddress,
    });
  }

  /** Runs a statement. */
  run(statement: CallerRequest, session?: string): Promise<CallerResult> {
    const {deadlineMs} = statement;
    return this.post('/v1/statements', statement, session, deadlineMs);
  }

  /** Sends a POST request to the caller port. */
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
