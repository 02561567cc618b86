import type {InstanceStatus} from '@sapphireglade/protocol';
import {instanceStatusSchema} from '@sapphireglade/protocol';
import {Client} from 'undici';

/** Longest wait for a response, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 5_000;

/** Response body with its HTTP status. */
export interface SocketResponse {
  readonly status: number;
  readonly body: Record<string, unknown>;
}

/** Client of a stand-in that uses a single socket. */
export class UpstreamSocket {
  private readonly client: Client;

  /** @param address - IP address. @param port - TCP port. */
  constructor(address: string, port: number) {
    this.client = new Client(`http://${address}:${port}`);
  }

  /** Sends a request and waits for the response. */
  async post(
    path: string,
    body: unknown,
    timeoutMs = RESPONSE_TIMEOUT_MS,
  ): Promise<SocketResponse> {
    const response = await this.client.request({
      path,
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(timeoutMs),
    });
    const answer = (await response.body.json()) as Record<string, unknown>;
    return {status: response.statusCode, body: answer};
  }

  /** Runs a write in a term. */
  write(
    sql: string,
    parameters: unknown[],
    term = 1,
    transaction?: string,
  ): Promise<SocketResponse> {
    const access = 'write';
    return this.post('/statement', {
      sql,
      parameters,
      access,
      term,
      transaction,
    });
  }

  /** Runs a read without a required term. */
  read(sql: string, parameters: unknown[] = []): Promise<SocketResponse> {
    return this.post('/statement', {sql, parameters, access: 'read'});
  }

  /** Reads the status of an instance. */
  async status(): Promise<InstanceStatus> {
    const after = {term: 0, position: 0};
    const body = {after, grantedTerm: 0, timeoutMs: 0};
    return instanceStatusSchema.parse((await this.post('/watch', body)).body);
  }

  /** Waits until the instance has reached a position. */
  async waitForPosition(term: number, position: number): Promise<void> {
    const after = {term, position: position - 1};
    await this.post('/watch', {after, grantedTerm: term, timeoutMs: 4_000});
  }

  /** Closes the socket. */
  close(): Promise<void> {
    return this.client.destroy();
  }
}
