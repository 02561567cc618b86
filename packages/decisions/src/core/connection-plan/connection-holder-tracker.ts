/**
 * How long a proxy keeps its share after it was last listed, in milliseconds.
 * Instances drop the connections of dead peers after three seconds.
 */
export const HOLDER_RETENTION_MS = 5_000;

/**
 * How long instances count the connections of dead peers, in milliseconds. The
 * users' platform specifies three seconds.
 */
const DEAD_PEER_TIMEOUT_MS = 3_000;

/**
 * Number of proxies assumed before the list is complete; large enough that the
 * share of each is one connection.
 */
const ASSUMED_HOLDER_COUNT = 20;

/**
 * Tracks the proxies among which connections are divided.
 *
 * A proxy that leaves the list keeps its share for a while, because instances
 * may still count its connections. A process that has just started has an
 * incomplete list, so it assumes many other proxies. If it has the list of the
 * proxies that ran before it started, it divides among those as soon as
 * instances have dropped the connections of dead peers: after a power failure
 * all proxies start again at the same time, each with one connection at first.
 */
export class ConnectionHolderTracker {
  private readonly lastListedAtMs = new Map<string, number>();
  private readonly listedSinceMs = new Map<string, number>();
  private firstUpdateAtMs: number | undefined;

  /**
   * Updates the tracker with the current list.
   *
   * @param listed - Names of the proxies that are currently listed.
   * @param nowMs - The time, in milliseconds of the process clock.
   * @param earlier - Names of the proxies that ran before this process
   *   started; empty if it has never run among them.
   * @returns Names of the proxies that have a share, with placeholders for
   *   assumed ones.
   */
  update(
    listed: readonly string[],
    nowMs: number,
    earlier: readonly string[] = [],
  ): string[] {
    this.firstUpdateAtMs ??= nowMs;
    for (const name of listed) {
      this.lastListedAtMs.set(name, nowMs);
      if (!this.listedSinceMs.has(name)) this.listedSinceMs.set(name, nowMs);
    }
    for (const [name, atMs] of this.lastListedAtMs) {
      if (nowMs - atMs <= HOLDER_RETENTION_MS) continue;
      this.lastListedAtMs.delete(name);
      this.listedSinceMs.delete(name);
    }
    const names = [...this.lastListedAtMs.keys()].sort();
    if (this.isComplete(nowMs)) return names;
    const mayCountDeadPeers =
      nowMs - this.firstUpdateAtMs <= DEAD_PEER_TIMEOUT_MS;
    if (earlier.length > 0 && !mayCountDeadPeers)
      return [...new Set([...names, ...earlier])].sort();
    const missing = Math.max(0, ASSUMED_HOLDER_COUNT - names.length);
    const assumed = Array.from({length: missing}, (_, index) => `?${index}`);
    return [...names, ...assumed];
  }

  /**
   * Returns whether the process has run for so long that it has seen every
   * proxy that has a share.
   *
   * @param nowMs - The time, in milliseconds of the process clock.
   */
  isComplete(nowMs: number): boolean {
    const firstMs = this.firstUpdateAtMs ?? nowMs;
    return nowMs - firstMs > HOLDER_RETENTION_MS;
  }

  /**
   * Returns whether a proxy has been listed for so short a time that holders of
   * before may still have connections beyond their present shares. One that is
   * no longer listed keeps its standing for as long as it has a share.
   *
   * @param name - Name of the proxy.
   * @param nowMs - The time, in milliseconds of the process clock.
   */
  isNew(name: string, nowMs: number): boolean {
    const sinceMs = this.listedSinceMs.get(name);
    return sinceMs === undefined || nowMs - sinceMs <= HOLDER_RETENTION_MS;
  }
}
