import {request} from 'undici';
import type {FaultTableBody} from '../http/index.js';

/** Longest wait for a response of a control port, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 5_000;

/** Client of the control port of a stand-in. */
export class ControlClient {
  /** @param origin - Origin of the port, such as `http://127.70.1.100:7001`. */
  constructor(readonly origin: string) {}

  /** Replaces the fault table. */
  async setFaults(table: FaultTableBody): Promise<void> {
    await this.put('/faults', table);
  }

  /** Sends a GET request. */
  get(path: string): Promise<unknown> {
    return this.send('GET', path);
  }

  /** Sends a PUT request with a JSON body. */
  put(path: string, body: unknown): Promise<unknown> {
    return this.send('PUT', path, body);
  }

  /** Sends a POST request with a JSON body. */
  post(path: string, body: unknown): Promise<unknown> {
    return this.send('POST', path, body);
  }

  private async send(
    method: 'GET' | 'PUT' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<unknown> {
    const hasBody = body !== undefined;
    const response = await request(`${this.origin}${path}`, {
      method,
      headers: hasBody ? {'content-type': 'application/json'} : {},
      body: hasBody ? JSON.stringify(body) : null,
      signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
    });
    const answer: unknown = await response.body.json();
    if (response.statusCode < 400) return answer;
    throw new Error(`${method} ${path}: ${JSON.stringify(answer)}`);
  }
}
