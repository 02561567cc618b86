/** Call counters of the store. */
export interface CallCounts {
  /** Calls by path. */
  readonly byPath: Readonly<Record<string, number>>;
  /** Calls by IP address of the client. */
  readonly byClient: Readonly<Record<string, number>>;
  /** Calls answered with status 429. */
  readonly limited: number;
}

/** Counts the calls to the store. */
export class CallCounter {
  private byPath: Record<string, number> = {};
  private byClient: Record<string, number> = {};
  private limited = 0;

  /** Counts a call. */
  count(path: string, client: string): void {
    this.byPath[path] = (this.byPath[path] ?? 0) + 1;
    this.byClient[client] = (this.byClient[client] ?? 0) + 1;
  }

  /** Counts a call that was answered with status 429. */
  countRateLimited(): void {
    this.limited += 1;
  }

  /** Returns the counts since the start or the last reset. */
  counts(): CallCounts {
    const {byPath, byClient, limited} = this;
    return {byPath: {...byPath}, byClient: {...byClient}, limited};
  }

  /** Resets all counts to zero. */
  reset(): void {
    this.byPath = {};
    this.byClient = {};
    this.limited = 0;
  }
}
