import type {BackoffPolicy} from '@sapphireglade/decisions';
import {computeBackoffMs} from '@sapphireglade/decisions';
import {LogPart, PeriodicTask} from '@sapphireglade/runtime';
import type {Subscription} from 'rxjs';
import type {ProxyContext} from '../context/index.js';
import type {LatestConfiguration} from './latest-configuration.js';
import type {DelegateElection} from './delegate-election.js';
import type {StoreConfigurationReader} from './store-configuration-reader.js';

/** Waits after the store failed. */
const RETRY_POLICY: BackoffPolicy = {initialMs: 100, maximumMs: 5_000};

/** How often a proxy without a role looks whether it is needed. */
const IDLE_INTERVAL_MS = 1_000;

/** A proxy that has learned nothing from peers for so long asks the store. */
const FALLBACK_DELAY_MS = 3_000;

/** Follows the head in the store, as delegate or where peers do not help. */
export class StoreWatcher extends PeriodicTask {
  private subscription: Subscription | undefined;
  private readonly startedAtMs = performance.now();
  private failedAttempts = 0;

  /**
   * @param context - What every task may use.
   * @param election - Says whether this proxy is delegate.
   * @param reader - Reads the store.
   * @param holder - The configuration of this process.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly election: DelegateElection,
    private readonly reader: StoreConfigurationReader,
    private readonly holder: LatestConfiguration,
  ) {
    super('store-follower');
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
        .warn('The store could not be followed.', {reason: error.message});
    }
    return computeBackoffMs(RETRY_POLICY, this.failedAttempts, Math.random());
  }
}
