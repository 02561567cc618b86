import type {Socket} from 'node:net';
import type {z} from 'zod';

/** Where a request came from. */
export interface RequestOrigin {
  /** The socket of the request; one socket is one connection. */
  readonly socket: Socket;
  /** IP address of the client. */
  readonly clientAddress: string;
}

/** One request that a stand-in answers. */
export interface Route {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  readonly path: string;
  /** Schema of the body; undefined for none. */
  readonly schema?: z.ZodType;
  /** Answers the request; an {@link HttpResponseError} gives another status. */
  readonly handle: (body: unknown, exchange: RequestOrigin) => unknown;
}

/** Where a stand-in listens. */
export interface ListenAddress {
  /** IP address of both ports. */
  readonly address: string;
  /** Port of the published interface. */
  readonly port: number;
  /** Port for tests: faults, tuning and what the stand-in has counted. */
  readonly controlPort: number;
}

/** Ends a request with a status and a body of its own. */
export class HttpResponseError extends Error {
  /**
   * @param status - HTTP status.
   * @param body - Body of the answer.
   */
  constructor(
    readonly status: number,
    readonly body: unknown,
  ) {
    super(`Answered with status ${status}.`);
    this.name = 'HttpAnswerError';
  }
}

/**
 * Makes a route whose handler receives a checked body.
 *
 * @param path - Path of the request.
 * @param schema - Schema of the body.
 * @param handle - Answers the request.
 */
export function createPostRoute<Schema extends z.ZodType>(
  path: string,
  schema: Schema,
  handle: (body: z.infer<Schema>, exchange: RequestOrigin) => unknown,
): Route {
  return {
    method: 'POST',
    path,
    schema,
    handle: (body, exchange) => handle(schema.parse(body), exchange),
  };
}
