import type {BackoffPolicy} from '@sapphireglade/decisions';
import {computeBackoffMs} from '@sapphireglade/decisions';
import {LogPart, PeriodicTask} from '@sapphireglade/runtime';
import type {Subscription} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import type {LatestConfiguration} from './latest-configuration.js';
import type {DelegateElection} from './delegate-election.js';
import type {StoreConfigurationReader} from './store-configuration-reader.js';

/** Backoff after a failed read of the store. */
const RETRY_POLICY: BackoffPolicy = {initialMs: 100, maximumMs: 5_000};

/**
 * Interval at which a proxy that need not read the store checks again, in
 * milliseconds.
 */
const IDLE_INTERVAL_MS = 1_000;

/**
 * Time without a configuration from peers before the store is read, in
 * milliseconds.
 */
const FALLBACK_DELAY_MS = 3_000;

/**
 * Watches the head in the store as delegate, or reads it if no peer provides
 * one.
 */
export class StoreWatcher extends PeriodicTask {
  private subscription: Subscription | undefined;
  private readonly startedAtMs = performance.now();
  private failedAttempts = 0;

  /**
   * @param context - The shared state of this process.
   * @param election - Determines whether this proxy is the delegate.
   * @param reader - Reads the store.
   * @param holder - The configuration of this process.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly election: DelegateElection,
    private readonly reader: StoreConfigurationReader,
    private readonly holder: LatestConfiguration,
  ) {
    super('store-watcher');
  }

  protected override async onStart(): Promise<void> {
    await super.onStart();
    this.subscription = this.election.isDelegate$.subscribe(isDelegate => {
      if (isDelegate) this.runNow();
    });
  }

  protected override async onStop(): Promise<void> {
    this.subscription?.unsubscribe();
    await super.onStop();
  }

  protected async runOnce(): Promise<number> {
    try {
      if (this.election.isDelegate) await this.syncFromStore();
      else if (this.needsFallback()) await this.reader.readOnce();
      else return IDLE_INTERVAL_MS;
      this.failedAttempts = 0;
      return this.election.isDelegate ? 0 : IDLE_INTERVAL_MS;
    } catch (error) {
      return this.onFailure(error as Error);
    }
  }

  private async syncFromStore(): Promise<void> {
    if (this.holder.isKnown) await this.reader.watchOnce();
    else await this.reader.readOnce();
  }

  private needsFallback(): boolean {
    if (this.holder.isKnown) return false;
    return performance.now() - this.startedAtMs >= FALLBACK_DELAY_MS;
  }

  private onFailure(error: Error): number {
    this.failedAttempts += 1;
    if (this.failedAttempts === 1) {
      this.context
        .logs(LogPart.Configuration)
        .warn('The configuration could not be read from the store; retrying.', {
          reason: error.message,
        });
    }
    return computeBackoffMs(RETRY_POLICY, this.failedAttempts, Math.random());
  }
}
