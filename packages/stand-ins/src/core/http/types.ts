import type {Socket} from 'node:net';
import type {z} from 'zod';

/** Origin of an HTTP request. */
export interface RequestOrigin {
  /** Socket of the request; one socket is one connection. */
  readonly socket: Socket;
  /** IP address of the client. */
  readonly clientAddress: string;
}

/** HTTP route of a stand-in. */
export interface Route {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  /** Schema of the request body; undefined if it is not validated. */
  readonly schema?: z.ZodType;
  /** Returns the body; throws {@link HttpResponseError} for another status. */
  readonly handle: (body: unknown, origin: RequestOrigin) => unknown;
}

/** Listen addresses of a stand-in. */
export interface ListenAddress {
  /** IP address of both ports. */
  readonly address: string;
  /** Port of the published interface. */
  readonly port: number;
  /** Port for tests: faults, tuning and counters. */
  readonly controlPort: number;
}

/** Error that a route throws to send a response with this status and body. */
export class HttpResponseError extends Error {
  /**
   * @param status - HTTP status.
   * @param body - Body of the response.
   */
  constructor(
    readonly status: number,
    readonly body: unknown,
  ) {
    super(`The request was answered with status ${status}.`);
    this.name = 'HttpResponseError';
  }
}

/**
 * Creates a POST route whose handler receives a validated body.
 *
 * @param path - Path of the request.
 * @param schema - Schema of the body.
 * @param handle - Returns the response body.
 */
export function createPostRoute<Schema extends z.ZodType>(
  path: string,
  schema: Schema,
  handle: (body: z.infer<Schema>, origin: RequestOrigin) => unknown,
): Route {
  return {
    method: 'POST',
    path,
    schema,
    handle: (body, origin) => handle(schema.parse(body), origin),
  };
}
