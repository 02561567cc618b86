import type {
  ResourceChangeResponse,
  ResourceResponse,
  ResourceWatchResponse,
} from '@sapphireglade/protocol';
import {
  resourceChangeResponseSchema,
  resourceResponseSchema,
  resourceWatchResponseSchema,
} from '@sapphireglade/protocol';
import type {Resource} from '@sapphireglade/decisions';
import {Pool} from 'undici';
import type {z} from 'zod';
import {FLEET_OPERATOR, accessKeyFor} from './fleet-resources.js';

/** Time allowed for a response beyond the wait of a watch, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 10_000;

/** Client of a proxy's operator API. */
export class FleetOperatorClient {
  private readonly pool: Pool;

  /** @param origin - Origin of the proxy's operator port. */
  constructor(origin: string) {
    this.pool = new Pool(origin);
  }

  /** Reads a resource. */
  get(kind: string, name: string): Promise<ResourceResponse> {
    return this.send('GET', `/v1/resources/${kind}/${name}`, {
      schema: resourceResponseSchema,
    });
  }

  /** Replaces a resource of the given version; creates it if that is 0. */
  put(resource: Resource, version: number): Promise<ResourceChangeResponse> {
    const path = `/v1/resources/${resource.kind}/${resource.name}`;
    return this.send('PUT', path, {
      schema: resourceChangeResponseSchema,
      body: resource,
      headers: version === 0 ? {} : {'if-match': `"${version}"`},
    });
  }

  /** Waits until the proxy has a later revision or the timeout expires. */
  watch(
    afterRevision: number,
    timeoutMs: number,
  ): Promise<ResourceWatchResponse> {
    const query = `afterRevision=${afterRevision}&timeoutMs=${timeoutMs}`;
    return this.send('GET', `/v1/watch?${query}`, {
      schema: resourceWatchResponseSchema,
      waitMs: timeoutMs,
    });
  }

  /** Closes every socket. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async send<Schema extends z.ZodType>(
    method: 'GET' | 'PUT',
    path: string,
    options: {
      schema: Schema;
      body?: unknown;
      headers?: Record<string, string>;
      waitMs?: number;
    },
  ): Promise<z.infer<Schema>> {
    const {schema, body, headers = {}, waitMs = 0} = options;
    const response = await this.pool.request({
      method,
      path,
      headers: {
        authorization: `Bearer ${FLEET_OPERATOR}:${accessKeyFor(FLEET_OPERATOR)}`,
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
        ...headers,
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(waitMs + RESPONSE_TIMEOUT_MS),
    });
    const answer: unknown = await response.body.json();
    if (response.statusCode < 400) return schema.parse(answer);
    throw new Error(`${method} ${path}: ${JSON.stringify(answer)}`);
  }
}
