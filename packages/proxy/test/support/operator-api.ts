import type {
  OperatorErrorResponse,
  StatusResponse,
} from '@sapphireglade/protocol';
import {
  resourceChangeResponseSchema,
  REASON_HEADER,
  resourceResponseSchema,
  resourceListResponseSchema,
  statusResponseSchema,
  resourceWatchResponseSchema,
} from '@sapphireglade/protocol';
import type {
  ResourceChangeResponse,
  ResourceResponse,
  ResourceListResponse,
  ResourceWatchResponse,
} from '@sapphireglade/protocol';
import {request} from 'undici';
import type {z} from 'zod';

const RESPONSE_TIMEOUT_MS = 15_000;

/** A response whose body may be an error. */
export interface OperatorResponse<Body> {
  readonly status: number;
  readonly body: Body;
  readonly error: OperatorErrorResponse['error'] | undefined;
}

/** Client for the operator API of a proxy. */
export class OperatorApi {
  constructor(
    private readonly origin: string,
    private readonly operator: string,
    private readonly key: string,
  ) {}

  list(): Promise<OperatorResponse<ResourceListResponse>> {
    return this.send('GET', '/v1/resources', resourceListResponseSchema);
  }

  read(key: string): Promise<OperatorResponse<ResourceResponse>> {
    return this.send('GET', `/v1/resources/${key}`, resourceResponseSchema);
  }

  put(
    key: string,
    version: number | undefined,
    body: unknown,
    query = '',
  ): Promise<OperatorResponse<ResourceChangeResponse>> {
    const path = `/v1/resources/${key}${query}`;
    return this.send('PUT', path, resourceChangeResponseSchema, version, body);
  }

  remove(
    key: string,
    version: number | undefined,
  ): Promise<OperatorResponse<ResourceChangeResponse>> {
    const path = `/v1/resources/${key}`;
    return this.send('DELETE', path, resourceChangeResponseSchema, version);
  }

  watch(
    afterRevision: number,
    timeoutMs: number,
  ): Promise<OperatorResponse<ResourceWatchResponse>> {
    const query = `afterRevision=${afterRevision}&timeoutMs=${timeoutMs}`;
    return this.send('GET', `/v1/watch?${query}`, resourceWatchResponseSchema);
  }

  async status(): Promise<StatusResponse> {
    const response = await this.send('GET', '/v1/status', statusResponseSchema);
    return response.body;
  }

  private async send<Schema extends z.ZodType>(
    method: 'GET' | 'PUT' | 'DELETE',
    path: string,
    schema: Schema,
    version?: number,
    body?: unknown,
  ): Promise<OperatorResponse<z.infer<Schema>>> {
    const response = await request(`${this.origin}${path}`, {
      method,
      headers: {
        authorization: `Bearer ${this.operator}:${this.key}`,
        [REASON_HEADER]: 'a test',
        ...(version === undefined ? {} : {'if-match': `"${version}"`}),
        ...(body === undefined ? {} : {'content-type': 'application/json'}),
      },
      body: body === undefined ? null : JSON.stringify(body),
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    const {statusCode: status} = response;
    const json = (await response.body.json()) as Partial<OperatorErrorResponse>;
    if (json.error !== undefined) {
      return {status, body: json as never, error: json.error};
    }
    return {status, body: schema.parse(json), error: undefined};
  }
}
