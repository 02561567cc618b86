import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {
  GrantedLease,
  ListedItems,
  StoredItem,
  StoreEvent,
  StoreResponse,
  StoreTransaction,
  TransactionResult,
  WatchResult,
} from '../../src/index.js';
import {
  CoordinationStore,
  StoreClient,
  StoreRefusedError,
} from '../../src/index.js';

/** One-way latency to the store, in milliseconds. */
const ONE_WAY_LATENCY_MS = 1;

/** Interval at which waiting watches and leases are checked, in milliseconds. */
const POLL_INTERVAL_MS = 5;

/** Longest key, in bytes. */
const MAXIMUM_KEY_BYTES = 200;

/** Time after which a call without an answer fails, in milliseconds. */
const ANSWER_TIMEOUT_MS = 1_500;

/** A copy of the store, from which it can be restored. */
export interface StoreBackup {
  readonly items: ReadonlyMap<string, StoredItem>;
  /** Duration of each lease in milliseconds, by the lease's id. */
  readonly leases: ReadonlyMap<number, number>;
  readonly revision: number;
  /** Id of the lease that was to be granted next. */
  readonly nextLease: number;
}

/** The contents of the store, shared by all clients. */
export class MemoryStoreState {
  readonly items = new Map<string, StoredItem>();
  readonly events: StoreEvent[] = [];
  readonly leases = new Map<number, {ttlMs: number; endsAtMs: number}>();
  revision = 1;
  /** Rises by one each time that the store is restored from a backup. */
  generation = 1;
  /** What reads that may be stale return; undefined if they are up to date. */
  staleBackup: StoreBackup | undefined;
  /** Number of reads that were allowed to be stale. */
  staleReads = 0;
  /** Revision up to which the history of changes was dropped. */
  droppedRevision = 0;
  private nextLease = 1;
  private readonly timer = setInterval(() => this.expire(), POLL_INTERVAL_MS);

  /** Returns whether the store takes all keys of a transaction. */
  takesKeys({conditions, puts, removals = []}: StoreTransaction): boolean {
    const keys = [...conditions, ...puts].map(({key}) => key);
    return [...keys, ...removals].every(
      key => Buffer.byteLength(key) <= MAXIMUM_KEY_BYTES,
    );
  }

  /** Writes a key. */
  put(key: string, value: string, leaseId = 0): void {
    this.apply([{key, value, leaseId}], []);
  }

  /** Removes a key, if it exists. */
  remove(key: string): void {
    this.apply([], [key]);
  }

  /**
   * Applies a transaction. All that it changes gets the same revision, which is
   * then the revision of the store.
   *
   * @param puts - The items to write.
   * @param removals - The keys to remove; those that do not exist are ignored.
   */
  apply(puts: StoreTransaction['puts'], removals: readonly string[]): void {
    const removed = removals.filter(key => this.items.delete(key));
    if (puts.length + removed.length === 0) return;
    this.revision += 1;
    const {revision} = this;
    for (const {key, value, leaseId} of puts) {
      const item = {key, value: Buffer.from(value), revision, leaseId};
      this.items.set(key, item);
      this.events.push({key, revision, item});
    }
    for (const key of removed) {
      this.events.push({key, revision, item: undefined});
    }
  }

  /** Drops the history of changes. */
  compact(): void {
    this.droppedRevision = this.revision;
    this.events.length = 0;
  }

  /**
   * Returns whether the store has every change after a revision. It has none after
   * a revision that it did not reach itself, as after it was restored.
   */
  hasHistoryAfter(revision: number): boolean {
    return revision >= this.droppedRevision && revision <= this.revision;
  }

  /** Copies the store, without the history of changes. */
  backup(): StoreBackup {
    const {items, leases, revision, nextLease} = this;
    return {
      items: new Map(items),
      leases: new Map([...leases].map(([id, {ttlMs}]) => [id, ttlMs])),
      revision,
      nextLease,
    };
  }

  /**
   * Restores the store from a backup. Everything that was written since is lost;
   * revisions and ids of leases since then are given out again. The leases of the
   * backup last for their whole duration from now on.
   */
  restore({items, leases, revision, nextLease}: StoreBackup): void {
    this.items.clear();
    for (const [key, item] of items) this.items.set(key, item);
    this.leases.clear();
    const nowMs = performance.now();
    for (const [id, ttlMs] of leases) {
      this.leases.set(id, {ttlMs, endsAtMs: nowMs + ttlMs});
    }
    this.revision = revision;
    this.nextLease = nextLease;
    this.compact();
    this.generation += 1;
  }

  /** Grants a lease. */
  grantLease(ttlMs: number): number {
    const id = this.nextLease;
    this.nextLease += 1;
    this.leases.set(id, {ttlMs, endsAtMs: performance.now() + ttlMs});
    return id;
  }

  /**
   * Renews a lease.
   *
   * @returns Whether the lease was still valid.
   */
  renewLease(id: number): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    lease.endsAtMs = performance.now() + lease.ttlMs;
    return true;
  }

  /** Revokes a lease and removes its keys. */
  revokeLease(id: number): void {
    this.leases.delete(id);
    for (const item of [...this.items.values()]) {
      if (item.leaseId === id) this.remove(item.key);
    }
  }

  /** Stops the store. */
  close(): void {
    clearInterval(this.timer);
  }

  private expire(): void {
    const nowMs = performance.now();
    for (const [id, {endsAtMs}] of this.leases) {
      if (endsAtMs < nowMs) this.revokeLease(id);
    }
  }
}

/** Sends the calls of one proxy to the shared state. */
export class MemoryStoreClient extends StoreClient {
  /** Whether calls of this client fail. */
  isPartitioned = false;
  /** Whether calls of this client are executed, but not answered. */
  losesAnswers = false;
  /** Time until a call of this client arrives and until its answer does, in milliseconds. */
  oneWayLatencyMs = ONE_WAY_LATENCY_MS;
  /** Wait time of the last watch of each prefix, in milliseconds. */
  readonly watchWaitMsByPrefix = new Map<string, number>();

  constructor(private readonly state: MemoryStoreState) {
    super();
  }

  override async list(
    prefix: string,
    {allowStale}: {readonly allowStale: boolean},
  ): Promise<StoreResponse<ListedItems>> {
    await this.simulateLatency();
    const {state} = this;
    if (allowStale) state.staleReads += 1;
    const source = (allowStale ? state.staleBackup : undefined) ?? state;
    const items = [...source.items.values()].filter(({key}) =>
      key.startsWith(prefix),
    );
    return this.answer({items, revision: source.revision});
  }

  override async watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<StoreResponse<WatchResult>> {
    this.watchWaitMsByPrefix.set(prefix, waitMs);
    await this.simulateLatency();
    const {state} = this;
    const endsAtMs = performance.now() + waitMs;
    for (;;) {
      if (afterRevision < state.droppedRevision) {
        return this.answer({kind: 'history-lost'});
      }
      const events = state.events.filter(
        ({key, revision}) => revision > afterRevision && key.startsWith(prefix),
      );
      if (events.length > 0 || performance.now() >= endsAtMs) {
        return this.answer({kind: 'events', events, revision: state.revision});
      }
      await sleep(POLL_INTERVAL_MS);
    }
  }

  override async transact(
    transaction: StoreTransaction,
  ): Promise<StoreResponse<TransactionResult>> {
    await this.simulateLatency();
    const {state} = this;
    const {conditions, puts, removals = []} = transaction;
    if (!state.takesKeys(transaction)) {
      throw new StoreRefusedError(
        state.generation,
        'A key of the transaction is too long.',
        false,
      );
    }
    const areConditionsMet = conditions.every(
      ({key, revision}) => (state.items.get(key)?.revision ?? 0) === revision,
    );
    if (!areConditionsMet) return this.answer({kind: 'conflict'});
    const hasLeases = puts.every(
      ({leaseId}) => leaseId === 0 || state.leases.has(leaseId),
    );
    if (!hasLeases) return this.answer({kind: 'lease-ended'});
    state.apply(puts, removals);
    return this.answer({kind: 'committed', revision: state.revision});
  }

  override async grantLease(
    ttlMs: number,
  ): Promise<StoreResponse<GrantedLease>> {
    await this.simulateLatency();
    return this.answer({leaseId: this.state.grantLease(ttlMs), ttlMs});
  }

  override async renewLease(leaseId: number): Promise<StoreResponse<boolean>> {
    await this.simulateLatency();
    return this.answer(this.state.renewLease(leaseId));
  }

  override async revokeLease(leaseId: number): Promise<StoreResponse<void>> {
    await this.simulateLatency();
    return this.answer(this.state.revokeLease(leaseId));
  }

  private async simulateLatency(): Promise<void> {
    await sleep(this.oneWayLatencyMs);
    this.failIfPartitioned();
  }

  private async answer<Result>(result: Result): Promise<StoreResponse<Result>> {
    this.failIfPartitioned();
    const {generation} = this.state;
    if (this.losesAnswers) {
      await sleep(ANSWER_TIMEOUT_MS);
      throw new SapphiregladeError(
        ErrorKind.StoreUnavailable,
        'The store did not answer.',
      );
    }
    if (this.oneWayLatencyMs > ONE_WAY_LATENCY_MS) {
      await sleep(this.oneWayLatencyMs);
    }
    return {generation, result};
  }

  private failIfPartitioned(): void {
    if (!this.isPartitioned) return;
    throw new SapphiregladeError(
      ErrorKind.StoreUnavailable,
      'The store is unreachable.',
    );
  }
}

/** The store as one proxy uses it. */
export class MemoryStore extends CoordinationStore {
  private readonly calls: MemoryStoreClient;

  constructor(state: MemoryStoreState) {
    const calls = new MemoryStoreClient(state);
    super(calls, createSilentLogger());
    this.calls = calls;
  }

  /** Whether calls of this proxy fail. */
  get isPartitioned(): boolean {
    return this.calls.isPartitioned;
  }

  set isPartitioned(isPartitioned: boolean) {
    this.calls.isPartitioned = isPartitioned;
  }

  /** Whether calls of this proxy are executed, but not answered. */
  get losesAnswers(): boolean {
    return this.calls.losesAnswers;
  }

  set losesAnswers(losesAnswers: boolean) {
    this.calls.losesAnswers = losesAnswers;
  }

  /** Sets the time until a call arrives and until its answer does, in milliseconds. */
  set oneWayLatencyMs(oneWayLatencyMs: number) {
    this.calls.oneWayLatencyMs = oneWayLatencyMs;
  }

  /** Wait time of the last watch of each prefix, in milliseconds. */
  get watchWaitMsByPrefix(): ReadonlyMap<string, number> {
    return this.calls.watchWaitMsByPrefix;
  }
}
