import type {LogPosition} from '@sapphireglade/decisions';
import {comparePositions} from '@sapphireglade/decisions';

/** Interval between two attempts to replicate, in milliseconds. */
const REPLICATION_INTERVAL_MS = 2;

/** Duration of a promotion, in milliseconds. */
const PROMOTION_DURATION_MS = 60;

/** Time for which a primary continues after it can reach a newer one, in milliseconds. */
const OLD_PRIMARY_DEMOTION_DELAY_MS = 1_000;

/** A value that a write stores. */
export interface Change {
  readonly item: string;
  readonly value: string;
}

/** One entry of a log: a write. */
export interface LogEntry {
  readonly position: LogPosition;
  readonly requestId: string;
  readonly changes: readonly Change[];
}

/** The end of a connection at an instance. */
export interface InstanceSide {
  /** Ends the connection, because the process of the instance has ended. */
  abandon(): void;
}

/** One instance of an in-memory group. */
export class MemoryInstance {
  log: LogEntry[] = [];
  isPrimary = false;
  term = 1;
  heldTerm = 0;
  isDown = false;
  /** Time of its start, in Unix milliseconds. */
  bornAtMs = 1;
  /** The open connections to it. */
  readonly connections = new Set<InstanceSide>();
  /** Number of restarts without its log. */
  lostLogs = 0;
  /** The statements that reached it, and the proxies that sent them. */
  readonly received: {readonly requestId: string; readonly proxy: string}[] =
    [];

  constructor(readonly id: string) {}

  /** Position of the newest log entry. */
  get position(): LogPosition {
    return this.log.at(-1)?.position ?? {term: 1, position: 0};
  }

  /** Returns the newest value of an item in the log. */
  read(item: string): string | undefined {
    return this.log
      .findLast(({changes}) => changes.some(change => change.item === item))
      ?.changes.findLast(change => change.item === item)?.value;
  }
}

/** An in-memory group of instances, with the records of an observer of all of them. */
export class MemoryGroup {
  readonly instances: MemoryInstance[];
  /** Pairs of names that cannot reach each other, as "a|b". */
  readonly partitions = new Set<string>();
  /** Fencing tokens of all ordered promotions, in order. */
  readonly tokens: number[] = [];
  /** Acknowledged requests that a promotion dropped. */
  readonly lost: string[] = [];
  /** Requests whose commit was acknowledged, with the time in milliseconds and the position. */
  readonly acknowledged = new Map<
    string,
    {atMs: number; position: LogPosition}
  >();
  /**
   * Longest time after which a replica receives an entry that another one has
   * confirmed, in milliseconds; 0 if all replicas receive it at once.
   */
  maximumLagMs = 0;
  /** Draws the time from an order to promote until it takes effect, in milliseconds. */
  drawPromotionDelayMs: () => number = () => PROMOTION_DURATION_MS;
  /** Draws the time until a hold that has arrived takes effect, in milliseconds. */
  drawHoldDelayMs: (instance: MemoryInstance) => number = () => 0;
  /** Draws the time until a release that has arrived takes effect, in milliseconds. */
  drawReleaseDelayMs: (instance: MemoryInstance) => number = () => 0;
  /** Returns a number from 0 (included) to 1 (excluded) for lags and confirming replicas. */
  random: () => number = Math.random;
  /** Called when a promotion takes effect, before others follow the instance. */
  onPromoted: (instance: MemoryInstance) => void = () => undefined;
  /** Called when an instance was held. */
  onHeld: (instance: MemoryInstance) => void = () => undefined;
  /** Instances that were ordered to lead and do not yet, in order. */
  readonly ordered: MemoryInstance[] = [];
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(
    readonly name: string,
    size: number,
  ) {
    this.instances = Array.from(
      {length: size},
      (_, index) => new MemoryInstance(`${name}-${index}`),
    );
    this.instances[0]!.isPrimary = true;
  }

  /** Adds a replica with an empty log. */
  addInstance(): MemoryInstance {
    const instance = new MemoryInstance(
      `${this.name}-${this.instances.length}`,
    );
    this.instances.push(instance);
    return instance;
  }

  /** Partitions two parties from each other. */
  partition(left: string, right: string): void {
    this.partitions.add(`${left}|${right}`).add(`${right}|${left}`);
  }

  /**
   * Removes the partition between two parties; a primary that was replaced in the
   * meantime is demoted after a delay.
   */
  reconnect(left: string, right: string): void {
    this.partitions.delete(`${left}|${right}`);
    this.partitions.delete(`${right}|${left}`);
    this.demoteOldPrimariesLater();
  }

  /** Gives an instance that has just been added the log of one that has left. */
  transferLog(from: MemoryInstance, to: MemoryInstance): void {
    to.log = from.log.slice();
    to.term = from.term;
  }

  /** Removes all partitions; a primary that was replaced in the meantime is demoted after a delay. */
  healPartitions(): void {
    this.partitions.clear();
    this.demoteOldPrimariesLater();
  }

  /** Crashes an instance; its held term is lost. */
  crash(instance: MemoryInstance): void {
    instance.isDown = true;
    instance.heldTerm = 0;
  }

  /** Restarts an instance without its log, which only a replica can lose. */
  restartWithoutLog(instance: MemoryInstance, nowMs: number): void {
    instance.log = [];
    instance.term = 1;
    instance.lostLogs += 1;
    this.restart(instance, nowMs);
  }

  /** Restarts an instance with its log; it becomes a replica if it reaches a newer primary. */
  restart(instance: MemoryInstance, nowMs: number): void {
    instance.isDown = false;
    instance.bornAtMs = nowMs;
    // Immediately, because a commit in progress must not continue in between.
    this.demoteOldPrimaries();
  }

  /** Returns whether a party can reach an instance. */
  reaches(party: string, instance: MemoryInstance): boolean {
    return !instance.isDown && !this.partitions.has(`${party}|${instance.id}`);
  }

  /** Finds an instance. */
  find(id: string): MemoryInstance | undefined {
    return this.instances.find(instance => instance.id === id);
  }

  /**
   * Commits a write on an instance.
   *
   * @param instance - The instance.
   * @param requestId - Identifies the write.
   * @param changes - The values that it stores.
   * @returns The entry once a replica has received it, or undefined if the
   *   instance is not the primary. The promise never settles if the instance is
   *   demoted in the meantime, because the entry may be kept or dropped.
   */
  async commit(
    instance: MemoryInstance,
    requestId: string,
    changes: readonly Change[] = [],
  ): Promise<LogEntry | undefined> {
    if (!instance.isPrimary) return undefined;
    const {position} = instance.position;
    const entry = {
      position: {term: instance.term, position: position + 1},
      requestId,
      changes,
    };
    instance.log.push(entry);
    await this.replicate(instance);
    if (!instance.isPrimary) await new Promise(() => undefined);
    return entry;
  }

  /**
   * Promotes an instance after a delay, as the platform does, unless it is down
   * or has lost its log by then.
   *
   * @param id - The instance.
   * @param token - Fencing token of the order.
   * @param durationMs - Time until the instance leads, in milliseconds.
   * @returns Whether the instance is running.
   */
  promote(
    id: string,
    token: number,
    durationMs: number = this.drawPromotionDelayMs(),
  ): boolean {
    const target = this.find(id);
    if (target === undefined || target.isDown) return false;
    this.tokens.push(token);
    const {lostLogs} = target;
    this.ordered.push(target);
    this.schedule(durationMs, () => {
      this.ordered.splice(this.ordered.indexOf(target), 1);
      if (!target.isDown && target.lostLogs === lostLogs)
        this.becomePrimary(target);
    });
    return true;
  }

  /** Cancels all scheduled work. */
  close(): void {
    for (const timer of this.timers) clearTimeout(timer);
  }

  /**
   * Waits until a replica has received the log, or the instance is no longer the
   * primary. Retries without a limit while no replica can receive it.
   */
  private replicate(from: MemoryInstance): Promise<void> {
    return new Promise(resolve => {
      const tryAgain = (): void => {
        const receivers = this.instances.filter(replica =>
          this.canReceive(from, replica),
        );
        const [confirming, ...others] =
          this.maximumLagMs > 0 ? shuffle(receivers, this.random) : [];
        const prompt = confirming === undefined ? receivers : [confirming];
        for (const replica of prompt) copyLog(from, replica, from.log.length);
        for (const replica of others) this.copyLater(from, replica);
        if (receivers.length > 0 || !from.isPrimary) resolve();
        else this.schedule(REPLICATION_INTERVAL_MS, tryAgain);
      };
      this.schedule(REPLICATION_INTERVAL_MS, tryAgain);
    });
  }

  /** Returns whether a replica receives entries from an instance. */
  private canReceive(from: MemoryInstance, replica: MemoryInstance): boolean {
    return (
      replica !== from &&
      !replica.isPrimary &&
      replica.heldTerm <= from.term &&
      replica.term <= from.term &&
      this.reaches(from.id, replica) &&
      !from.isDown &&
      from.isPrimary
    );
  }

  /** Sends the present log to a replica that lags behind. */
  private copyLater(from: MemoryInstance, replica: MemoryInstance): void {
    const {length} = from.log;
    this.schedule(this.maximumLagMs * this.random(), () => {
      const isBehind = replica.term < from.term || replica.log.length < length;
      if (isBehind && this.canReceive(from, replica))
        copyLog(from, replica, length);
    });
  }

  private becomePrimary(target: MemoryInstance): void {
    const isPresentPrimary =
      target.isPrimary &&
      this.instances.every(
        ({term, isPrimary}) => !isPrimary || term <= target.term,
      );
    // Promoting the present primary changes nothing.
    if (isPresentPrimary) return;
    target.term = Math.max(
      ...this.instances.flatMap(({term, heldTerm}) => [term + 1, heldTerm]),
    );
    target.isPrimary = true;
    target.heldTerm = 0;
    const kept = new Set(target.log.map(({requestId}) => requestId));
    for (const requestId of this.acknowledged.keys()) {
      if (!kept.has(requestId)) this.lost.push(requestId);
    }
    this.onPromoted(target);
    for (const other of this.instances) {
      const isReachableFollower =
        other !== target && this.reaches(target.id, other);
      if (!isReachableFollower) continue;
      other.isPrimary = false;
      other.term = target.term;
      const isAhead = comparePositions(other.position, target.position) > 0;
      if (isAhead) other.log = target.log.slice();
    }
  }

  private demoteOldPrimariesLater(): void {
    this.schedule(OLD_PRIMARY_DEMOTION_DELAY_MS, () =>
      this.demoteOldPrimaries(),
    );
  }

  /** Demotes each primary that can reach a primary of a newer term to a replica of it. */
  private demoteOldPrimaries(): void {
    const primaries = this.instances.filter(
      ({isPrimary, isDown}) => isPrimary && !isDown,
    );
    const newest = primaries.reduce<MemoryInstance | undefined>(
      (best, each) =>
        best === undefined || each.term > best.term ? each : best,
      undefined,
    );
    if (newest === undefined) return;
    for (const old of primaries) {
      if (old === newest || !this.reaches(old.id, newest)) continue;
      old.isPrimary = false;
      old.log = newest.log.slice();
    }
  }

  private schedule(milliseconds: number, callback: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      callback();
    }, milliseconds);
    this.timers.add(timer);
  }
}

/** Makes a replica hold the first entries of a log and nothing else. */
function copyLog(
  from: MemoryInstance,
  replica: MemoryInstance,
  length: number,
): void {
  replica.log = from.log.slice(0, length);
  replica.term = from.term;
}

/** Returns the elements in random order. */
function shuffle<Element>(
  elements: readonly Element[],
  random: () => number,
): Element[] {
  return elements
    .map(element => ({element, rank: random()}))
    .sort((left, right) => left.rank - right.rank)
    .map(({element}) => element);
}
