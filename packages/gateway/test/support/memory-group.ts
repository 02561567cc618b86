import type {LogPosition} from '@sapphireglade/decisions';
import {comparePositions} from '@sapphireglade/decisions';

/** One way between instances, in milliseconds. */
const REPLICATION_INTERVAL_MS = 2;

/** How long a promotion takes, in milliseconds. */
const PROMOTION_DURATION_MS = 60;

/** How long a primary goes on after it can reach a newer one, in milliseconds. */
const OLD_PRIMARY_DEMOTION_DELAY_MS = 1_000;

/** A value that a write stores. */
export interface Change {
  readonly item: string;
  readonly value: string;
}

/** One committed write. */
export interface LogEntry {
  readonly position: LogPosition;
  readonly requestId: string;
  readonly changes: readonly Change[];
}

/** One instance of a group in memory. */
export class MemoryInstance {
  log: LogEntry[] = [];
  isPrimary = false;
  term = 1;
  heldTerm = 0;
  isDown = false;
  /** Unix millisecond of its start. */
  bornAtMs = 1;

  constructor(readonly id: string) {}

  /** Position of the newest entry. */
  get position(): LogPosition {
    return this.log.at(-1)?.position ?? {term: 1, position: 0};
  }

  /** The newest value of an item in its log. */
  read(item: string): string | undefined {
    return this.log
      .findLast(({changes}) => changes.some(change => change.item === item))
      ?.changes.findLast(change => change.item === item)?.value;
  }
}

/** A group of instances in memory, with what an observer of all knows. */
export class MemoryGroup {
  readonly instances: readonly MemoryInstance[];
  /** Pairs of names that cannot reach each other, as "a|b". */
  readonly partitions = new Set<string>();
  /** Every token with which a promotion was ordered, in order. */
  readonly tokens: number[] = [];
  /** Acknowledged entries that a promotion dropped. */
  readonly lost: string[] = [];
  /** Requests whose commit was acknowledged, and when, in milliseconds. */
  readonly acknowledged = new Map<
    string,
    {atMs: number; position: LogPosition}
  >();
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

  /** Cuts two parties off from each other. */
  partition(left: string, right: string): void {
    this.partitions.add(`${left}|${right}`).add(`${right}|${left}`);
  }

  /** Ends the cut between two parties. */
  reconnect(left: string, right: string): void {
    this.partitions.delete(`${left}|${right}`);
    this.partitions.delete(`${right}|${left}`);
  }

  /** Ends all cuts; a primary that was replaced meanwhile learns of it. */
  heal(): void {
    this.partitions.clear();
    this.schedule(OLD_PRIMARY_DEMOTION_DELAY_MS, () =>
      this.demoteOldPrimaries(),
    );
  }

  /** Ends an instance; what it held of a higher term is forgotten. */
  crash(instance: MemoryInstance): void {
    instance.isDown = true;
    instance.heldTerm = 0;
  }

  /** Starts an instance again, with its log and as a replica if one leads. */
  restart(instance: MemoryInstance, nowMs: number): void {
    instance.isDown = false;
    instance.bornAtMs = nowMs;
    // At once: a commit that was under way must not go on in between.
    this.demoteOldPrimaries();
  }

  /** Whether a party reaches an instance. */
  reaches(party: string, instance: MemoryInstance): boolean {
    return !instance.isDown && !this.partitions.has(`${party}|${instance.id}`);
  }

  /** Finds an instance. */
  find(id: string): MemoryInstance | undefined {
    return this.instances.find(instance => instance.id === id);
  }

  /**
   * Commits a write at an instance.
   *
   * @param instance - The instance.
   * @param requestId - Identifies the write.
   * @param changes - What it stores.
   * @returns The entry once a replica has it, or nothing if it does not lead;
   *   no answer comes if it loses the lead meanwhile, because the entry may
   *   be kept or dropped.
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

  /** Promotes an instance, as the platform does. */
  promote(id: string, token: number): boolean {
    const target = this.find(id);
    if (target === undefined || target.isDown) return false;
    this.tokens.push(token);
    this.schedule(PROMOTION_DURATION_MS, () => this.becomePrimary(target));
    return true;
  }

  /** Ends what is under way. */
  close(): void {
    for (const timer of this.timers) clearTimeout(timer);
  }

  /** Waits until one replica has an entry; for ever if none can. */
  private replicate(from: MemoryInstance): Promise<void> {
    return new Promise(resolve => {
      const tryAgain = (): void => {
        const receivers = this.instances.filter(
          replica =>
            replica !== from &&
            !replica.isPrimary &&
            replica.heldTerm <= from.term &&
            replica.term <= from.term &&
            this.reaches(from.id, replica) &&
            !from.isDown &&
            from.isPrimary,
        );
        for (const replica of receivers) {
          replica.log = from.log.slice();
          replica.term = from.term;
        }
        if (receivers.length > 0 || !from.isPrimary) resolve();
        else this.schedule(REPLICATION_INTERVAL_MS, tryAgain);
      };
      this.schedule(REPLICATION_INTERVAL_MS, tryAgain);
    });
  }

  private becomePrimary(target: MemoryInstance): void {
    const newest = Math.max(
      ...this.instances.flatMap(({term, heldTerm}) => [term, heldTerm]),
    );
    target.isPrimary = true;
    target.term = Math.max(newest, target.term + 1);
    target.heldTerm = 0;
    const kept = new Set(target.log.map(({requestId}) => requestId));
    for (const requestId of this.acknowledged.keys()) {
      if (!kept.has(requestId)) this.lost.push(requestId);
    }
    for (const other of this.instances) {
      const isFollower = other !== target && this.reaches(target.id, other);
      if (!isFollower) continue;
      other.isPrimary = false;
      other.term = target.term;
      const isAhead = comparePositions(other.position, target.position) > 0;
      if (isAhead) other.log = target.log.slice();
    }
  }

  /** A primary that reaches one of a newer term follows it. */
  private demoteOldPrimaries(): void {
    const leaders = this.instances.filter(
      ({isPrimary, isDown}) => isPrimary && !isDown,
    );
    const newest = leaders.reduce<MemoryInstance | undefined>(
      (best, each) =>
        best === undefined || each.term > best.term ? each : best,
      undefined,
    );
    if (newest === undefined) return;
    for (const old of leaders) {
      if (old === newest || !this.reaches(old.id, newest)) continue;
      old.isPrimary = false;
      old.log = newest.log.slice();
    }
  }

  private schedule(milliseconds: number, work: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      work();
    }, milliseconds);
    this.timers.add(timer);
  }
}
