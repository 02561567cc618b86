/** How long a proxy keeps its part after it was last listed, in milliseconds; instances drop dead peers after three seconds. */
const KEEP_MS = 5_000;

/** Proxies that are assumed before the list has settled; enough for a share of one. */
const ASSUMED_HOLDERS = 20;

/**
 * The proxies among which connections are divided.
 *
 * A proxy that leaves the list keeps its part for a while, because instances
 * may still count its connections. A process that has just started sees an
 * incomplete list, so it assumes others until the list has had time to fill.
 */
export class ShareHolders {
  private readonly lastListedMs = new Map<string, number>();
  private firstUpdateMs: number | undefined;

  /**
   * Takes the present list in.
   *
   * @param listed - Names of the proxies that are listed now.
   * @param nowMs - The time, in milliseconds of the process clock.
   * @returns Names of everyone whose part is kept.
   */
  update(listed: readonly string[], nowMs: number): string[] {
    this.firstUpdateMs ??= nowMs;
    for (const name of listed) this.lastListedMs.set(name, nowMs);
    for (const [name, atMs] of this.lastListedMs) {
      if (nowMs - atMs > KEEP_MS) this.lastListedMs.delete(name);
    }
    const names = [...this.lastListedMs.keys()].sort();
    const isSettled = nowMs - this.firstUpdateMs > KEEP_MS;
    if (isSettled) return names;
    const missing = Math.max(0, ASSUMED_HOLDERS - names.length);
    const assumed = Array.from({length: missing}, (_, index) => `?${index}`);
    return [...names, ...assumed];
  }
}
