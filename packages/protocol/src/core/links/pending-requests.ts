import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';

/** A request that waits for its response. */
interface PendingRequest {
  readonly resolve: (body: unknown) => void;
  readonly reject: (error: Error) => void;
  readonly timer: NodeJS.Timeout;
}

/** A pending request with the promise of its response. */
export interface AddedRequest {
  readonly correlation: number;
  readonly answer: Promise<unknown>;
}

/** The requests of one link that wait for their responses. */
export class PendingRequests {
  private readonly requests = new Map<number, PendingRequest>();
  private nextCorrelation = 1;

  /**
   * Adds a request.
   *
   * @param deadlineMs - How long to wait for its response, in milliseconds.
   */
  add(deadlineMs: number): AddedRequest {
    const correlation = this.nextCorrelation;
    this.nextCorrelation += 1;
    const response = new Promise<unknown>((resolve, reject) => {
      const timer = setTimeout(() => this.expire(correlation), deadlineMs);
      this.requests.set(correlation, {resolve, reject, timer});
    });
    return {correlation, answer: response};
  }

  /** Number of pending requests. */
  get size(): number {
    return this.requests.size;
  }

  /**
   * Resolves a pending request with its response.
   *
   * @returns False if no such request is pending.
   */
  settle(correlation: number, body: unknown): boolean {
    const request = this.remove(correlation);
    request?.resolve(body);
    return request !== undefined;
  }

  /** Returns whether a request waits for its response. */
  has(correlation: number): boolean {
    return this.requests.has(correlation);
  }

  /** Fails a pending request. */
  fail(correlation: number, error: Error): void {
    this.remove(correlation)?.reject(error);
  }

  /** Fails every pending request. */
  failAll(error: Error): void {
    for (const correlation of [...this.requests.keys()]) {
      this.remove(correlation)?.reject(error);
    }
  }

  private expire(correlation: number): void {
    this.remove(correlation)?.reject(
      new SapphiregladeError(
        ErrorKind.OutcomeUnknown,
        'The other proxy did not answer in time.',
      ),
    );
  }

  private remove(correlation: number): PendingRequest | undefined {
    const request = this.requests.get(correlation);
    if (request === undefined) return undefined;
    clearTimeout(request.timer);
    this.requests.delete(correlation);
    return request;
  }
}
