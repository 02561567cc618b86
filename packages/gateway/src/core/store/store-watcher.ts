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
import type {CoordinationStore, StoreEvent} from './coordination-store.js';
import type {StorePrefixListener} from './store-prefix-listener.js';

/** How much longer than its wait a watch may take, in milliseconds. */
const WATCH_TIMEOUT_MARGIN_MS = 700;

/** How long reading a whole section may take, in milliseconds. */
const LIST_TIMEOUT_MS = 2_000;

/** Pause after a failed call, in milliseconds; doubles up to the maximum. */
const INITIAL_RETRY_DELAY_MS = 50;

/** Longest pause after failed calls, in milliseconds. */
const MAXIMUM_RETRY_DELAY_MS = 400;

/** How often a paused follower looks whether it has to go on, in milliseconds. */
const PAUSED_CHECK_INTERVAL_MS = 200;

/** Stands for a watch whose answer is not waited for any longer. */
const INTERRUPTED = Symbol('interrupted');

/** What a follower needs. */
export interface StoreWatcherOptions {
  readonly store: CoordinationStore;
  readonly listeners: readonly StorePrefixListener[];
  /** Prefix that covers all sections. */
  readonly watchedPrefix: string;
  /** How long one watch waits at the store, in milliseconds. */
  readonly watchWaitMs: () => number;
  /** Shortest time between two watches, in milliseconds; changes come in batches then. */
  readonly minimumIntervalMs: () => number;
  /** Whether reading everything from time to time is enough; it may be seconds old then. */
  readonly shouldPoll: () => boolean;
  /** Whether somebody else tells what is followed; nothing is asked then. */
  readonly isPaused: () => boolean;
  readonly log: Logger;
  /** Called with the time at which a question was sent that got its answer. */
  readonly onConfirmed: (sentAt: ClockReading) => void;
}

/**
 * Follows a part of the store: reads every section once, then watches for
 * changes.
 *
 * Each answer proves that everything written before its question was sent is
 * known; whoever acts on the store's content relies on that.
 */
export class StoreWatcher extends SupervisedTask {
  private readonly abortController = new AbortController();
  private knownRevision = 0;
  private retryDelayMs = INITIAL_RETRY_DELAY_MS;
  private isConnected = false;
  private hasSnapshot = false;
  /** Whether the next watch, or the present one, is answered at once. */
  private isRefreshRequested = false;
  private interrupt: () => void = () => undefined;

  constructor(private readonly options: StoreWatcherOptions) {
    super(`store-follower of "${options.watchedPrefix}"`);
  }

  /** Whether every section has been read. */
  get isComplete(): boolean {
    return this.hasSnapshot;
  }

  /** Whether the last call was answered. */
  get isStoreReachable(): boolean {
    return this.isConnected;
  }

  /** Changes up to this revision are known. */
  get revision(): number {
    return this.knownRevision;
  }

  /** Asks at once, in place of a watch that waits. */
  refresh(): void {
    if (this.isRefreshRequested) return;
    this.isRefreshRequested = true;
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
      try {
        if (this.options.isPaused()) this.hasSnapshot = false;
        else if (await this.step()) this.markConnected();
      } catch (error) {
        await this.failed(error);
      }
      await this.waitForNextSync(beganAtMs);
    }
  }

  /** Waits until the next question is due, or somebody needs its answer. */
  private async waitForNextSync(beganAtMs: number): Promise<void> {
    const intervalMs = this.options.isPaused()
      ? PAUSED_CHECK_INTERVAL_MS
      : this.options.minimumIntervalMs();
    const restMs = intervalMs + beganAtMs - steadyNowMs();
    if (restMs <= 0) return;
    // Nobody waits for an answer while nothing is asked.
    if (this.isRefreshRequested && !this.options.isPaused()) return;
    const waking = new AbortController();
    this.interrupt = () => waking.abort();
    try {
      await sleep(restMs, undefined, {signal: waking.signal});
    } catch {
      // Woken early, because an answer is needed now.
    }
  }

  /**
   * Reads, or asks for changes.
   *
   * @returns Whether the store's answer was taken in.
   */
  private async step(): Promise<boolean> {
    const sentAt = readClocks();
    const isOccasional = this.options.shouldPoll();
    if (isOccasional || !this.hasSnapshot)
      await this.loadSnapshot(isOccasional);
    else if (!(await this.watchOnce())) return false;
    this.options.onConfirmed(sentAt);
    return true;
  }

  /** Reads all sections by one question; changes continue from its answer. */
  private async loadSnapshot(mayBeOld: boolean): Promise<void> {
    const {store, listeners: sections, watchedPrefix} = this.options;
    const answer = await withTimeout(
      store.list(watchedPrefix, {allowStale: mayBeOld}),
      LIST_TIMEOUT_MS,
    );
    if (answer === TIMED_OUT) throw new Error('The store did not answer.');
    // What may be old proves nothing; it is read anew before it is watched.
    this.hasSnapshot = !mayBeOld;
    // An answer that is older than what is known must not bring it back.
    if (answer.revision < this.knownRevision) return;
    for (const section of sections) {
      const items = answer.items.filter(({key}) =>
        key.startsWith(section.prefix),
      );
      section.onSnapshot(items);
    }
    this.knownRevision = answer.revision;
  }

  /**
   * Asks for changes.
   *
   * @returns Whether the answer was taken in.
   */
  private async watchOnce(): Promise<boolean> {
    const {store, watchedPrefix, log} = this.options;
    const wasHurried = this.isRefreshRequested;
    const waitMs = wasHurried ? 0 : this.options.watchWaitMs();
    const interrupted = new Promise<typeof INTERRUPTED>(resolve => {
      this.interrupt = () => resolve(INTERRUPTED);
    });
    try {
      const answer = await Promise.race([
        withTimeout(
          store.watch(watchedPrefix, this.knownRevision, waitMs),
          waitMs + WATCH_TIMEOUT_MARGIN_MS,
        ),
        interrupted,
      ]);
      if (answer === INTERRUPTED) return false;
      if (answer === TIMED_OUT) throw new Error('The watch was not answered.');
      if (answer.kind === 'history-lost') {
        log.warn('The store dropped its history; reading everything again.', {
          afterRevision: this.knownRevision,
        });
        this.hasSnapshot = false;
        return false;
      }
      for (const event of answer.events) this.dispatch(event);
      this.knownRevision = Math.max(this.knownRevision, answer.revision);
      return true;
    } finally {
      // A question that was sent already may be too old for whoever asks now.
      if (wasHurried) this.isRefreshRequested = false;
    }
  }

  private dispatch(event: StoreEvent): void {
    for (const section of this.options.listeners) {
      if (!event.key.startsWith(section.prefix)) continue;
      if (event.item !== undefined) section.onPut(event.item);
      else section.onDelete(event.key, event.revision);
    }
  }

  private markConnected(): void {
    this.retryDelayMs = INITIAL_RETRY_DELAY_MS;
    if (this.isConnected) return;
    this.isConnected = true;
    this.options.log.info('The store answers.', {
      prefix: this.options.watchedPrefix,
      revision: this.knownRevision,
    });
  }

  private async failed(error: unknown): Promise<void> {
    if (this.abortController.signal.aborted) return;
    if (this.isConnected || this.retryDelayMs === INITIAL_RETRY_DELAY_MS) {
      this.options.log.warn('The store does not answer; trying again.', {
        prefix: this.options.watchedPrefix,
        error: String(error),
        revision: this.knownRevision,
      });
    }
    this.isConnected = false;
    // A store that cuts its watches may drop its history next, or have done so.
    this.hasSnapshot = false;
    await sleep(this.retryDelayMs);
    this.retryDelayMs = Math.min(MAXIMUM_RETRY_DELAY_MS, this.retryDelayMs * 2);
  }
}
