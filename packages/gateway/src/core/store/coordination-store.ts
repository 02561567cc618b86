import {
  ErrorKind,
  GenerationChange,
  SapphiregladeError,
  StoreGenerations,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {Subject} from 'rxjs';
import {steadyNowMs} from '../time/index.js';
import type {StoreClient, StoreResponse} from './store-client.js';
import {StoreRefusedError} from './store-client.js';
import type {
  GrantedLease,
  StoredItems,
  StoreTransaction,
  TransactionResult,
  WatchResult,
} from './store-types.js';

/**
 * How long a restored store may lack what others wrote before, in milliseconds;
 * live writers have repeated it by then.
 */
export const RESTORE_SETTLE_MS = 2_500;

/**
 * The platform's key-value store with revisions, watches and leases, and the
 * generation to which they belong.
 *
 * Every method rejects with a `SapphiregladeError` of kind
 * `store-unavailable`. Its outcome is `not run` if the store refused the call;
 * otherwise a change may have taken effect, or may still do so. A response that
 * was given before a restore, or to a call that refers to state from before it,
 * counts as missing.
 */
export class CoordinationStore {
  private readonly generations = new StoreGenerations();
  private readonly restores = new Subject<number>();
  private sinceMs = -Infinity;
  private restoreCount = 0;

  /**
   * @param client - Sends the calls.
   * @param log - Receives a line for each restore.
   */
  constructor(
    private readonly client: StoreClient,
    private readonly log: Logger,
  ) {}

  /**
   * Emits the new generation when the store was restored from a backup, before
   * the response that shows it is returned.
   */
  get restored$(): Subject<number> {
    return this.restores;
  }

  /** Newest generation of the store that this process has seen; 0 before the first response. */
  get generation(): number {
    return this.generations.current ?? 0;
  }

  /** Number of restores that this process has seen. */
  get restoresSeen(): number {
    return this.restoreCount;
  }

  /**
   * When this process first saw the generation, in milliseconds of the steady
   * clock; -Infinity before the first response.
   */
  get generationSinceMs(): number {
    return this.sinceMs;
  }

  /**
   * Whether live writers have had the time to repeat what a restore may have
   * removed. A process that has just started cannot know when the last restore
   * was.
   */
  get isSettled(): boolean {
    return steadyNowMs() - this.sinceMs >= RESTORE_SETTLE_MS;
  }

  /** Whether this process has seen a restore whose losses may not have been repeated yet. */
  get isRestoring(): boolean {
    return this.restoreCount > 0 && !this.isSettled;
  }

  /** How long the store needs until it is settled, in milliseconds. */
  get settlesInMs(): number {
    return Math.max(0, this.sinceMs + RESTORE_SETTLE_MS - steadyNowMs());
  }

  /**
   * Records a generation that another proxy has seen.
   *
   * @param generation - The generation.
   */
  observeGeneration(generation: number): void {
    this.observe(generation);
  }

  /**
   * Reads all keys with a prefix.
   *
   * @param prefix - The prefix.
   * @param options - Whether the response may be stale by seconds, which costs
   *   the store little; otherwise it is up to date.
   */
  async list(
    prefix: string,
    options: {readonly allowStale: boolean} = {allowStale: false},
  ): Promise<StoredItems> {
    const response = await this.receive(this.client.list(prefix, options));
    return {...response.result, generation: response.generation};
  }

  /**
   * Waits for changes of keys with a prefix.
   *
   * @param prefix - The prefix.
   * @param afterRevision - Last revision that the caller has already received.
   * @param waitMs - How long the store waits for a change, in milliseconds.
   */
  watch(
    prefix: string,
    afterRevision: number,
    waitMs: number,
  ): Promise<WatchResult> {
    return this.callInGeneration(() =>
      this.client.watch(prefix, afterRevision, waitMs),
    );
  }

  /** Executes a transaction. */
  transact(transaction: StoreTransaction): Promise<TransactionResult> {
    return this.callInGeneration(() => this.client.transact(transaction));
  }

  /** Grants a lease. */
  grantLease(ttlMs: number): Promise<GrantedLease> {
    return this.callInGeneration(() => this.client.grantLease(ttlMs));
  }

  /**
   * Renews a lease.
   *
   * @returns Whether the lease still existed.
   */
  renewLease(leaseId: number): Promise<boolean> {
    return this.callInGeneration(() => this.client.renewLease(leaseId));
  }

  /** Revokes a lease and removes its keys, unless it has already ended. */
  revokeLease(leaseId: number): Promise<void> {
    return this.callInGeneration(() => this.client.revokeLease(leaseId));
  }

  /** Sends a call that refers to revisions or leases of the current generation. */
  private async callInGeneration<Result>(
    send: () => Promise<StoreResponse<Result>>,
  ): Promise<Result> {
    const sentIn = this.generations.current;
    const {generation, result} = await this.receive(send());
    if (sentIn !== undefined && generation !== sentIn) {
      throw new SapphiregladeError(
        ErrorKind.StoreUnavailable,
        'The store was restored from a backup while the call was pending.',
      );
    }
    return result;
  }

  private async receive<Result>(
    pending: Promise<StoreResponse<Result>>,
  ): Promise<StoreResponse<Result>> {
    let response: StoreResponse<Result>;
    try {
      response = await pending;
    } catch (error) {
      if (error instanceof StoreRefusedError) this.observe(error.generation);
      throw error;
    }
    if (this.observe(response.generation) === GenerationChange.Outdated) {
      throw new SapphiregladeError(
        ErrorKind.StoreUnavailable,
        'The response was given before the store was restored from a backup.',
      );
    }
    return response;
  }

  private observe(generation: number): GenerationChange {
    const previous = this.generations.current;
    const change = this.generations.observe(generation);
    if (change === GenerationChange.First) this.sinceMs = steadyNowMs();
    if (change === GenerationChange.Restored) {
      this.sinceMs = steadyNowMs();
      this.restoreCount += 1;
      this.log.warn(
        'The store was restored from a backup; revisions and leases from before are void.',
        {generation, previous},
      );
      this.restores.next(generation);
    }
    return change;
  }
}
