import type {
  ResourceChangeResponse,
  ResourceResponse,
  ResourceListResponse,
  StatusResponse,
  TimelinePage,
} from '@sapphireglade/protocol';
import {
  resourceChangeResponseSchema,
  operatorErrorResponseSchema,
  REASON_HEADER,
  resourceResponseSchema,
  resourceListResponseSchema,
  statusResponseSchema,
  timelinePageSchema,
} from '@sapphireglade/protocol';
import {request} from 'undici';
import type {z} from 'zod';
import {ExitCode, toCommandError, CommandError} from './command-error.js';
import type {OperatorConnection, ResourceChange} from './types.js';

/** Longest wait for an answer, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 10_000;

const NOT_FOUND_STATUS = 404;
const FIRST_ERROR_STATUS = 400;

/** What one call sends. */
interface OperatorRequest {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs?: number;
}

/** What came back. */
interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Talks to the operator interface of one proxy. */
export class OperatorClient {
  /** @param connection - How to reach the proxy. */
  constructor(private readonly connection: OperatorConnection) {}

  /** Origin of the proxy's operator port. */
  get origin(): string {
    return this.connection.origin;
  }

  /** A client for another proxy, with the same operator. */
  at(origin: string): OperatorClient {
    return new OperatorClient({...this.connection, origin});
  }

  /** Lists the resources, of one kind or of all. */
  list(kind?: string): Promise<ResourceListResponse> {
    const query = kind === undefined ? '' : `?kind=${kind}`;
    const path = `/v1/resources${query}`;
    return this.sendAndParse({method: 'GET', path}, resourceListResponseSchema);
  }

  /** Reads one resource; undefined if there is none. */
  async find(
    kind: string,
    name: string,
  ): Promise<ResourceResponse | undefined> {
    const answer = await this.send({
      method: 'GET',
      path: resourcePath(kind, name),
    });
    if (answer.status === NOT_FOUND_STATUS) return undefined;
    return this.parse(answer, resourceResponseSchema);
  }

  /** Creates or replaces a resource. */
  put(change: ResourceChange, body: unknown): Promise<ResourceChangeResponse> {
    return this.sendAndParse(
      {method: 'PUT', ...createChangeRequest(change), body},
      resourceChangeResponseSchema,
    );
  }

  /** Deletes a resource. */
  remove(change: ResourceChange): Promise<ResourceChangeResponse> {
    return this.sendAndParse(
      {method: 'DELETE', ...createChangeRequest(change)},
      resourceChangeResponseSchema,
    );
  }

  /** Reads what the proxy knows of the fleet. */
  status(): Promise<StatusResponse> {
    return this.sendAndParse(
      {method: 'GET', path: '/v1/status'},
      statusResponseSchema,
    );
  }

  /**
   * Reads one page of the proxy's time line.
   *
   * @param query - Query of `GET /v1/timeline`.
   * @param timeoutMs - How long to wait, in milliseconds.
   */
  timeline(
    query: Readonly<Record<string, string>>,
    timeoutMs: number,
  ): Promise<TimelinePage> {
    const path = `/v1/timeline?${new URLSearchParams(query).toString()}`;
    return this.sendAndParse(
      {method: 'GET', path, timeoutMs},
      timelinePageSchema,
    );
  }

  private async sendAndParse<Schema extends z.ZodType>(
    call: OperatorRequest,
    schema: Schema,
  ): Promise<z.infer<Schema>> {
    return this.parse(await this.send(call), schema);
  }

  private async send(call: OperatorRequest): Promise<OperatorResponse> {
    const {origin, operator, key} = this.connection;
    const {method, path, body, timeoutMs = RESPONSE_TIMEOUT_MS} = call;
    const json = body === undefined ? {} : {'content-type': 'application/json'};
    try {
      const response = await request(`${origin}${path}`, {
        method,
        headers: {
          authorization: `Bearer ${operator}:${key}`,
          ...json,
          ...call.headers,
        },
        body: body === undefined ? null : JSON.stringify(body),
        signal: AbortSignal.timeout(timeoutMs),
      });
      const text = await response.body.text();
      return {status: response.statusCode, body: parseJson(text)};
    } catch (cause) {
      throw new CommandError(
        ExitCode.Unavailable,
        `The proxy at ${origin} does not answer (${(cause as Error).message}).`,
        'Check the address and that the operator port is open, or name another proxy with --proxy.',
      );
    }
  }

  /** Checks an answer, or throws what it says is wrong. */
  private parse<Schema extends z.ZodType>(
    answer: OperatorResponse,
    schema: Schema,
  ): z.infer<Schema> {
    if (answer.status >= FIRST_ERROR_STATUS) {
      const refusal = operatorErrorResponseSchema.safeParse(answer.body);
      if (refusal.success) throw toCommandError(refusal.data);
      throw this.createUnexpectedResponseError(`status ${answer.status}`);
    }
    const parsed = schema.safeParse(answer.body);
    if (parsed.success) return parsed.data;
    throw this.createUnexpectedResponseError('a body of another form');
  }

  private createUnexpectedResponseError(what: string): CommandError {
    return new CommandError(
      ExitCode.Failure,
      `The proxy at ${this.connection.origin} answered with ${what}.`,
      'Check that --proxy names the operator port and that tool and proxy have the same version.',
    );
  }
}

function resourcePath(kind: string, name: string): string {
  const parts = [kind, name].map(part => encodeURIComponent(part));
  return `/v1/resources/${parts.join('/')}`;
}

/** Path and headers of a change. */
function createChangeRequest(
  change: ResourceChange,
): Pick<OperatorRequest, 'path' | 'headers'> {
  const path = resourcePath(change.kind, change.name);
  const precondition: Record<string, string> =
    change.version === 0 ? {} : {'if-match': `"${change.version}"`};
  return {
    path: change.dryRun ? `${path}?dryRun=true` : path,
    headers: {
      ...precondition,
      [REASON_HEADER]: validateReason(change.reason),
    },
  };
}

/** Lets only characters pass that a header can carry. */
function validateReason(reason: string): string {
  if (/^[\x20-\x7e\xa0-\xff]*$/.test(reason)) return reason;
  throw new CommandError(
    ExitCode.Usage,
    'The reason has characters that cannot be sent.',
    'Write it on one line in Latin letters.',
  );
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
