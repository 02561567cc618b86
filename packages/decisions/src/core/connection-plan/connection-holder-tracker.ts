/** How long a proxy keeps its part after it was last listed, in milliseconds; instances drop dead peers after three seconds. */
const HOLDER_RETENTION_MS = 5_000;

/** How long instances count the connections of dead peers, in milliseconds; the users' platform states three seconds. */
const DEAD_PEER_TIMEOUT_MS = 3_000;

/** Proxies that are assumed before the list has settled; enough for a share of one. */
const ASSUMED_HOLDER_COUNT = 20;

/**
 * The proxies among which connections are divided.
 *
 * A proxy that leaves the list keeps its part for a while, because instances
 * may still count its connections. A process that has just started sees an
 * incomplete list, so it assumes many others. If it knows the proxies that ran
 * before it started, it divides among those as soon as instances have dropped
 * the connections of dead peers: after a loss of power all proxies start again
 * at the same time, and one connection for each of them comes first.
 */
export class ConnectionHolderTracker {
  private readonly lastListedAtMs = new Map<string, number>();
  private firstUpdateAtMs: number | undefined;

  /**
   * Takes the present list in.
   *
   * @param listed - Names of the proxies that are listed now.
   * @param nowMs - The time, in milliseconds of the process clock.
   * @param earlier - Names of the proxies that ran before this process
   *   started; empty if it has never run among them.
   * @returns Names of everyone whose part is kept.
   */
  update(
    listed: readonly string[],
    nowMs: number,
    earlier: readonly string[] = [],
  ): string[] {
    this.firstUpdateAtMs ??= nowMs;
    for (const name of listed) this.lastListedAtMs.set(name, nowMs);
    for (const [name, atMs] of this.lastListedAtMs) {
      if (nowMs - atMs > HOLDER_RETENTION_MS) this.lastListedAtMs.delete(name);
    }
    const names = [...this.lastListedAtMs.keys()].sort();
    const isSettled = nowMs - this.firstUpdateAtMs > HOLDER_RETENTION_MS;
    if (isSettled) return names;
    const isCrowded = nowMs - this.firstUpdateAtMs <= DEAD_PEER_TIMEOUT_MS;
    if (earlier.length > 0 && !isCrowded)
      return [...new Set([...names, ...earlier])].sort();
    const missing = Math.max(0, ASSUMED_HOLDER_COUNT - names.length);
    const assumed = Array.from({length: missing}, (_, index) => `?${index}`);
    return [...names, ...assumed];
  }
}
