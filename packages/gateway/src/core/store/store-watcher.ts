import type {ClockReading} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  readClocks,
  steadyNowMs,
  TIMED_OUT,
  withTimeout,
} from '../time/index.js';
import type {CoordinationStore} from './coordination-store.js';
import type {StoredItem, StoreEvent} from './store-types.js';
import type {StorePrefixListener} from './store-prefix-listener.js';

/** Time that a watch may take in addition to its wait, in milliseconds. */
const WATCH_TIMEOUT_MARGIN_MS = 700;

/** Maximum time to list all sections, in milliseconds. */
const LIST_TIMEOUT_MS = 2_000;

/**
 * Delay after the first failed call, in milliseconds; doubles up to the
 * maximum.
 */
const INITIAL_RETRY_DELAY_MS = 50;

/**
 * Maximum delay after failed calls, in milliseconds, of a watcher whose interval
 * is not longer.
 */
const MAXIMUM_RETRY_DELAY_MS = 400;

/**
 * Interval in which a paused watcher checks whether it must resume, in
 * milliseconds.
 */
const PAUSED_CHECK_INTERVAL_MS = 200;

/** Result of a call whose response is no longer awaited. */
const INTERRUPTED = Symbol('interrupted');

/** What a step of a watcher achieved. */
const StepResult = {
  /** The response was applied. */
  Applied: 'applied',
  /** The response says nothing new; the next step is due after the interval. */
  Ignored: 'ignored',
  /** Another request is needed at once. */
  RetryNow: 'retry-now',
  /** Another request is needed after a delay. */
  RetryLater: 'retry-later',
} as const;

/** A value of {@link StepResult}. */
type StepResult = (typeof StepResult)[keyof typeof StepResult];

/** Options of a store watcher. */
export interface StoreWatcherOptions {
  readonly store: CoordinationStore;
  readonly listeners: readonly StorePrefixListener[];
  /** Prefix that covers all sections. */
  readonly watchedPrefix: string;
  /** Returns how long one watch waits at the store, in milliseconds. */
  readonly watchWaitMs: () => number;
  /**
   * Returns the minimum interval between two watches, in milliseconds; changes
   * arrive in batches then.
   */
  readonly minimumIntervalMs: () => number;
  /**
   * Returns whether a periodic read of all sections is sufficient; its content
   * may be seconds old.
   */
  readonly shouldPoll: () => boolean;
  /**
   * Returns whether the content is received from another source; the store is
   * not queried then.
   */
  readonly isPaused: () => boolean;
  readonly log: Logger;
  /**
   * Called after each response that was up to date, with the time at which its
   * request was sent.
   */
  readonly onConfirmed: (sentAt: ClockReading) => void;
}

/**
 * Follows a prefix of the store: reads every section once, then watches for
 * changes.
 *
 * Each response proves that every change written before its request was sent
 * has been received. Components that act on the content of the store rely on
 * that.
 */
export class StoreWatcher extends SupervisedTask {
  private readonly abortController = new AbortController();
  private knownRevision = 0;
  private retryDelayMs = INITIAL_RETRY_DELAY_MS;
  private isConnected = false;
  private hasSnapshot = false;
  private lastSyncedAtMs = -Infinity;
  private confirmedAtMs = -Infinity;
  /** Whether the last list may lack what live writers repeat after a restore. */
  private isListPartial = false;
  /** Whether the restored content has not been read yet. */
  private isRestoreUnread = false;
  /** Whether the next or current watch must return immediately. */
  private isRefreshRequested = false;
  /** How long the store waited in vain for a change before it answered the last watch, in milliseconds. */
  private unchangedMs = 0;
  private interrupt: () => void = () => undefined;

  constructor(private readonly options: StoreWatcherOptions) {
    super(`store-watcher of "${options.watchedPrefix}"`);
    options.store.restored$.subscribe(() => this.onRestored());
  }

  /** Whether every section has been read. */
  get isComplete(): boolean {
    return this.hasSnapshot;
  }

  /**
   * When the request was sent whose response is the newest state, in
   * milliseconds of the steady clock; undefined if that state may be stale.
   */
  get syncedAtMs(): number | undefined {
    return this.hasSnapshot ? this.lastSyncedAtMs : undefined;
  }

  /**
   * Time since the store is known to have held nothing newer than the newest
   * state, in milliseconds.
   */
  get ageMs(): number {
    return steadyNowMs() - this.confirmedAtMs;
  }

  /** Whether the last call got a response. */
  get isStoreReachable(): boolean {
    return this.isConnected;
  }

  /** Last revision up to which all changes have been received. */
  get revision(): number {
    return this.knownRevision;
  }

  /** Queries the store immediately and interrupts a waiting watch. */
  refresh(): void {
    if (this.isRefreshRequested) return;
    this.isRefreshRequested = true;
    this.interrupt();
  }

  /** Forgets the revisions and reads everything again immediately. */
  private onRestored(): void {
    this.knownRevision = 0;
    this.hasSnapshot = false;
    this.lastSyncedAtMs = -Infinity;
    this.confirmedAtMs = -Infinity;
    this.isRestoreUnread = true;
    for (const listener of this.options.listeners) listener.onRestored();
    this.interrupt();
  }

  protected override onStart(): Promise<void> {
    void this.follow();
    return Promise.resolve();
  }

  protected override onStop(): Promise<void> {
    this.abortController.abort();
    return Promise.resolve();
  }

  private async follow(): Promise<void> {
    while (!this.abortController.signal.aborted) {
      const beganAtMs = steadyNowMs();
      const result = await this.runStep();
      if (result === StepResult.RetryNow) continue;
      if (result === StepResult.RetryLater) await this.backOff();
      else await this.waitForNextSync(beganAtMs);
    }
  }

  private async runStep(): Promise<StepResult> {
    try {
      if (this.options.isPaused()) {
        this.hasSnapshot = false;
        return StepResult.Ignored;
      }
      const result = await this.step();
      if (result === StepResult.Applied) this.markConnected();
      return result;
    } catch (error) {
      this.recordFailure(error);
      return StepResult.RetryLater;
    }
  }

  /**
   * Waits before a failed request is repeated; longer with each failure, up to
   * the interval of the watcher.
   */
  private async backOff(): Promise<void> {
    if (this.abortController.signal.aborted) return;
    const {minimumIntervalMs, shouldPoll} = this.options;
    const maximumMs = Math.max(MAXIMUM_RETRY_DELAY_MS, minimumIntervalMs());
    const delayMs = shouldPoll() ? maximumMs : this.retryDelayMs;
    this.retryDelayMs = Math.min(maximumMs, this.retryDelayMs * 2);
    await this.sleepUntilInterrupted(delayMs);
  }

  /** Waits until the next request is due, or a refresh is requested. */
  private async waitForNextSync(beganAtMs: number): Promise<void> {
    if (this.options.isPaused()) {
      await this.sleepUntilInterrupted(PAUSED_CHECK_INTERVAL_MS);
      return;
    }
    if (this.isRefreshRequested || this.isRestoreUnread) return;
    const dueInMs =
      this.options.minimumIntervalMs() + beganAtMs - steadyNowMs();
    // A partial list is read again as soon as the store is settled.
    const remainingMs = this.isListPartial
      ? Math.min(dueInMs, this.options.store.settlesInMs)
      : dueInMs;
    if (remainingMs > 0) await this.sleepUntilInterrupted(remainingMs);
  }

  private async sleepUntilInterrupted(milliseconds: number): Promise<void> {
    const abortController = new AbortController();
    this.interrupt = () => abortController.abort();
    try {
      await sleep(milliseconds, undefined, {signal: abortController.signal});
    } catch {
      // Aborted, because a refresh was requested.
    }
  }

  /**
   * Reads all sections, or watches for changes.
   */
  private async step(): Promise<StepResult> {
    const sentAt = readClocks();
    // A refresh needs a response that is up to date.
    const isPolling = this.options.shouldPoll() && !this.isRefreshRequested;
    const isListDue = this.isListPartial && this.options.store.isSettled;
    this.unchangedMs = 0;
    const result =
      isPolling || !this.hasSnapshot || isListDue
        ? await this.loadSnapshot(isPolling)
        : await this.watchOnce();
    if (result !== StepResult.Applied) return result;
    this.lastSyncedAtMs = sentAt.steadyMs;
    this.confirmedAtMs = sentAt.steadyMs + this.unchangedMs;
    if (this.hasSnapshot) this.options.onConfirmed(sentAt);
    return result;
  }

  /** Awaits a response, unless a refresh or a restore makes it useless. */
  private async awaitResponse<Response>(
    response: Promise<Response>,
    timeoutMs: number,
  ): Promise<Response | typeof INTERRUPTED> {
    const interrupted = new Promise<typeof INTERRUPTED>(resolve => {
      this.interrupt = () => resolve(INTERRUPTED);
    });
    const result = await Promise.race([
      withTimeout(response, timeoutMs),
      interrupted,
    ]);
    if (result === TIMED_OUT) throw new Error('The store did not respond.');
    return result;
  }

  /**
   * Reads all sections with one request; the watch continues after its
   * revision.
   */
  private async loadSnapshot(allowStale: boolean): Promise<StepResult> {
    const {store, watchedPrefix} = this.options;
    const wasRefreshRequested = this.isRefreshRequested;
    const response = await this.awaitResponse(
      store.list(watchedPrefix, {allowStale}),
      LIST_TIMEOUT_MS,
    );
    if (response === INTERRUPTED) return StepResult.RetryNow;
    if (response.generation !== store.generation) return StepResult.RetryLater;
    // A response older than the current state must not restore it.
    if (response.revision < this.knownRevision) {
      if (!allowStale) return StepResult.RetryLater;
      this.markConnected();
      return StepResult.Ignored;
    }
    this.isListPartial = store.isRestoring;
    for (const listener of this.options.listeners)
      this.applyList(listener, response.items);
    // A stale response proves nothing; the sections are read again before they
    // are watched.
    this.hasSnapshot = !allowStale;
    this.isRestoreUnread = false;
    if (wasRefreshRequested && !allowStale) this.isRefreshRequested = false;
    this.knownRevision = response.revision;
    return StepResult.Applied;
  }

  /**
   * Applies a list to one section. A list that may lack what is written again
   * after a restore removes nothing.
   */
  private applyList(
    listener: StorePrefixListener,
    items: readonly StoredItem[],
  ): void {
    const section = items.filter(({key}) => key.startsWith(listener.prefix));
    if (this.isListPartial) for (const item of section) listener.onPut(item);
    else listener.onSnapshot(section);
  }

  /** Watches for changes once. */
  private async watchOnce(): Promise<StepResult> {
    const {store, watchedPrefix, log} = this.options;
    const wasRefreshRequested = this.isRefreshRequested;
    const waitMs = wasRefreshRequested ? 0 : this.nextWatchWaitMs;
    const beganAtMs = steadyNowMs();
    try {
      const response = await this.awaitResponse(
        store.watch(watchedPrefix, this.knownRevision, waitMs),
        waitMs + WATCH_TIMEOUT_MARGIN_MS,
      );
      if (response === INTERRUPTED) return StepResult.RetryNow;
      if (response.kind === 'history-lost') {
        log.warn(
          'The store compacted its history; reading all sections again.',
          {
            afterRevision: this.knownRevision,
            generation: store.generation,
          },
        );
        this.hasSnapshot = false;
        return StepResult.RetryNow;
      }
      for (const event of response.events) this.dispatch(event);
      // A store that answers earlier may have done so for another reason.
      const hasWaited = steadyNowMs() - beganAtMs >= waitMs;
      if (response.events.length === 0 && hasWaited) this.unchangedMs = waitMs;
      this.knownRevision = Math.max(this.knownRevision, response.revision);
      return StepResult.Applied;
    } finally {
      // A request that was sent before the refresh was requested may be too old
      // for it.
      if (wasRefreshRequested) this.isRefreshRequested = false;
    }
  }

  /** A partial list is read again as soon as the store is settled. */
  private get nextWatchWaitMs(): number {
    const {store, watchWaitMs} = this.options;
    const waitMs = watchWaitMs();
    if (!this.isListPartial) return waitMs;
    return Math.min(waitMs, Math.ceil(store.settlesInMs));
  }

  private dispatch(event: StoreEvent): void {
    for (const listener of this.options.listeners) {
      if (!event.key.startsWith(listener.prefix)) continue;
      if (event.item !== undefined) listener.onPut(event.item);
      else listener.onDelete(event.key, event.revision);
    }
  }

  private markConnected(): void {
    this.retryDelayMs = INITIAL_RETRY_DELAY_MS;
    if (this.isConnected) return;
    this.isConnected = true;
    this.options.log.info('The store is reachable.', {
      prefix: this.options.watchedPrefix,
      revision: this.knownRevision,
    });
  }

  private recordFailure(error: unknown): void {
    if (this.abortController.signal.aborted) return;
    if (this.isConnected || this.retryDelayMs === INITIAL_RETRY_DELAY_MS) {
      this.options.log.warn('The store does not respond; retrying.', {
        prefix: this.options.watchedPrefix,
        error: String(error),
        revision: this.knownRevision,
      });
    }
    this.isConnected = false;
    // A store that closes its watches may compact its history next, or may have
    // done so.
    this.hasSnapshot = false;
  }
}
