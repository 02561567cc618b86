import {OwnerShares} from '../../src/index.js';

/** How long a busy owner keeps connections after its share was reduced, in milliseconds; a grant counts for 5 s by the clock of a proxy that may have learned 1 s earlier that it ended. */
const BUSY_MS = 4_000;

/** Interval at which shares are computed, in milliseconds. */
const TICK_MS = 200;

/** Time before the first change in which all owners have their shares, in milliseconds. */
const SETTLED_MS = 30_000;

/** When a proxy does not run. */
export interface Absence {
  readonly proxy: string;
  readonly fromMs: number;
  readonly toMs: number;
}

/** Owners that change while they are busy. */
export interface OwnerPlay {
  readonly instance: string;
  readonly limit: number;
  /** Names of the owners, each in the zone of its first letter, with the time from which they are listed in milliseconds. */
  readonly lists: readonly {
    readonly atMs: number;
    readonly owners: readonly string[];
  }[];
  /**
   * Returns after which time a proxy learns of a list, in milliseconds. A list
   * never arrives before an earlier one.
   */
  readonly delayMs: (proxy: string, list: number) => number;
  /** Proxies that are suspended, and keep their connections meanwhile. */
  readonly frozen?: readonly Absence[];
  /** Processes that are killed, and start again without memory. */
  readonly restarted?: readonly Absence[];
  readonly durationMs: number;
}

/** One proxy that uses all the connections that it may hold. */
class BusyOwner {
  private shares: OwnerShares;
  private seen = 0;
  private former: {readonly connections: number; readonly atMs: number}[] = [];

  constructor(
    private readonly name: string,
    private readonly play: OwnerPlay,
    private readonly arrivalsMs: readonly number[],
  ) {
    this.shares = new OwnerShares(name);
  }

  /** Returns the connections of this proxy at a time. */
  connectionsAt(nowMs: number): number {
    const isIn = ({proxy, fromMs, toMs}: Absence): boolean =>
      proxy === this.name && nowMs >= fromMs && nowMs < toMs;
    if (this.play.restarted?.some(isIn)) {
      this.shares = new OwnerShares(this.name);
      this.former = [];
      while ((this.arrivalsMs[this.seen] ?? Infinity) <= nowMs) this.seen += 1;
      this.seen -= 1;
      return 0;
    }
    if (!this.play.frozen?.some(isIn)) this.divide(nowMs);
    return Math.max(...this.former.map(({connections}) => connections));
  }

  private divide(nowMs: number): void {
    const {instance, limit, lists} = this.play;
    const availabilityZone = instance.at(-1)!;
    const arrived = this.arrivalsMs.findLastIndex(atMs => atMs <= nowMs);
    const first = Math.min(this.seen, arrived);
    for (const {owners} of lists.slice(first, arrived + 1)) {
      const listed = owners.map(name => ({name, availabilityZone: name[0]}));
      this.shares.update(listed, nowMs);
    }
    this.seen = arrived;
    const isOwner = lists[arrived]!.owners.includes(this.name);
    const connections = isOwner
      ? this.shares.shareOf({id: instance, availabilityZone, limit}, nowMs)
      : 0;
    this.former = this.former.filter(({atMs}) => nowMs - atMs < BUSY_MS);
    this.former.push({connections, atMs: nowMs});
  }
}

/**
 * Plays changes of owners.
 *
 * @param play - The changes.
 * @returns The highest number of connections to the instance.
 */
export function highestConnections(play: OwnerPlay): number {
  const names = new Set(play.lists.flatMap(({owners}) => owners));
  const proxies = [...names].map(name => {
    let arrivedMs = -SETTLED_MS;
    const arrivalsMs = play.lists.map(({atMs}, index) => {
      arrivedMs = Math.max(arrivedMs, atMs + play.delayMs(name, index));
      return index === 0 ? -SETTLED_MS : arrivedMs;
    });
    return new BusyOwner(name, play, arrivalsMs);
  });
  const countAt = (nowMs: number): number =>
    proxies.reduce((sum, proxy) => sum + proxy.connectionsAt(nowMs), 0);
  let highest = countAt(-SETTLED_MS);
  for (let nowMs = -SETTLED_MS / 2; nowMs < 0; nowMs += SETTLED_MS / 6)
    highest = Math.max(highest, countAt(nowMs));
  for (let nowMs = 0; nowMs < play.durationMs; nowMs += TICK_MS)
    highest = Math.max(highest, countAt(nowMs));
  return highest;
}
