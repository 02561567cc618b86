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

/** Longest wait for a response, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 10_000;

const NOT_FOUND_STATUS = 404;
const FIRST_ERROR_STATUS = 400;

/** Request to the operator API. */
interface OperatorRequest {
  readonly method: 'GET' | 'PUT' | 'DELETE';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs?: number;
}

/** Response of the operator API. */
interface OperatorResponse {
  readonly status: number;
  readonly body: unknown;
}

/** Client of the operator API of one proxy. */
export class OperatorClient {
  /** @param connection - Address of the proxy and operator credentials. */
  constructor(private readonly connection: OperatorConnection) {}

  /** Origin of the proxy's operator port. */
  get origin(): string {
    return this.connection.origin;
  }

  /** Returns a client for another proxy with the same credentials. */
  at(origin: string): OperatorClient {
    return new OperatorClient({...this.connection, origin});
  }

  /** Lists the resources of one kind, or of all kinds. */
  list(kind?: string): Promise<ResourceListResponse> {
    const query =
      kind === undefined ? '' : `?${new URLSearchParams({kind}).toString()}`;
    const path = `/v1/resources${query}`;
    return this.sendAndParse({method: 'GET', path}, resourceListResponseSchema);
  }

  /** Reads a resource; returns undefined if it does not exist. */
  async find(
    kind: string,
    name: string,
  ): Promise<ResourceResponse | undefined> {
    const response = await this.send({
      method: 'GET',
      path: resourcePath(kind, name),
    });
    if (response.status === NOT_FOUND_STATUS) return undefined;
    return this.parse(response, resourceResponseSchema);
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

  /** Reads the fleet status cached by the proxy. */
  status(): Promise<StatusResponse> {
    return this.sendAndParse(
      {method: 'GET', path: '/v1/status'},
      statusResponseSchema,
    );
  }

  /**
   * Reads one page of the proxy's timeline.
   *
   * @param query - Query of `GET /v1/timeline`.
   * @param timeoutMs - Longest wait for the response, in milliseconds.
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
        `The proxy at ${origin} does not respond (${(cause as Error).message}).`,
        'Check the address and that the operator port is open, or name another proxy with --proxy.',
      );
    }
  }

  /** Validates a response; throws {@link CommandError} for an error response. */
  private parse<Schema extends z.ZodType>(
    response: OperatorResponse,
    schema: Schema,
  ): z.infer<Schema> {
    if (response.status >= FIRST_ERROR_STATUS) {
      const errorResponse = operatorErrorResponseSchema.safeParse(
        response.body,
      );
      if (errorResponse.success) throw toCommandError(errorResponse.data);
      throw this.createUnexpectedResponseError(`status ${response.status}`);
    }
    const parsed = schema.safeParse(response.body);
    if (parsed.success) return parsed.data;
    throw this.createUnexpectedResponseError('an invalid body');
  }

  private createUnexpectedResponseError(problem: string): CommandError {
    return new CommandError(
      ExitCode.Failure,
      `The proxy at ${this.connection.origin} responded with ${problem}.`,
      'Check that --proxy names the operator port and that tool and proxy have the same version.',
    );
  }
}

function resourcePath(kind: string, name: string): string {
  const parts = [kind, name].map(part => encodeURIComponent(part));
  return `/v1/resources/${parts.join('/')}`;
}

/** Builds the path and headers of a change request. */
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

/** Checks that a reason contains only characters that are valid in a header. */
function validateReason(reason: string): string {
  if (/^[\x20-\x7e\xa0-\xff]*$/.test(reason)) return reason;
  throw new CommandError(
    ExitCode.Usage,
    'The reason contains characters that cannot be sent in a header.',
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
