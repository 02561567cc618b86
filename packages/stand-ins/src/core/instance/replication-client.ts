import type {PeerInstance} from '@sapphireglade/protocol';
import {Pool} from 'undici';
import type {z} from 'zod';
import type {
  HistoryResponse,
  ReplicateResponse,
} from './replication-schemas.js';
import {
  historyResponseSchema,
  replicateResponseSchema,
} from './replication-schemas.js';
import type {ReplicateRequest} from './replication-schemas.js';

/** Time allowed for a response beyond the requested wait, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 500;

/** Pulls entries from a primary over HTTP. */
export class ReplicationClient {
  private readonly pool: Pool;

  /**
   * @param primary - Address of the primary.
   * @param localAddress - Local IP address of the connections.
   */
  constructor(primary: PeerInstance, localAddress: string) {
    this.pool = new Pool(`http://${primary.address}:${primary.port}`, {
      connections: 1,
      connect: {localAddress, timeout: RESPONSE_TIMEOUT_MS},
    });
  }

  /** Fetches the last position and the term starts of the primary's log. */
  fetchHistory(term: number): Promise<HistoryResponse> {
    return this.post('/history', {term}, historyResponseSchema, 0);
  }

  /** Fetches entries that are due, waiting for them if necessary. */
  fetchEntries(request: ReplicateRequest): Promise<ReplicateResponse> {
    const {timeoutMs} = request;
    return this.post('/replicate', request, replicateResponseSchema, timeoutMs);
  }

  /** Closes the sockets. */
  async close(): Promise<void> {
    await this.pool.destroy();
  }

  private async post<Schema extends z.ZodType>(
    path: string,
    body: unknown,
    schema: Schema,
    waitMs: number,
  ): Promise<z.infer<Schema>> {
    const response = await this.pool.request({
      path,
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(waitMs + RESPONSE_TIMEOUT_MS),
    });
    const answer: unknown = await response.body.json();
    if (response.statusCode !== 200) {
      throw new Error(
        `The primary responded with status ${response.statusCode}.`,
      );
    }
    return schema.parse(answer);
  }
}
