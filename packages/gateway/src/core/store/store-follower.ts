import type {ClockReading} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {TaskLifecycle} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import {readClocks, TIMED_OUT, within} from '../time/index.js';
import type {CoordinationStore, StoreEvent} from './coordination-store.js';
import type {StoreSection} from './store-section.js';

/** How long one watch waits at the store, in milliseconds; a third of the view's validity. */
const WATCH_WAIT_MS = 500;

/** How much longer than its wait a watch may take, in milliseconds. */
const WATCH_GRACE_MS = 700;

/** How long reading a whole section may take, in milliseconds. */
const LIST_TIMEOUT_MS = 2_000;

/** Pause after a failed call, in milliseconds; doubles up to the maximum. */
const FIRST_PAUSE_MS = 50;

/** Longest pause after failed calls, in milliseconds. */
const MAXIMUM_PAUSE_MS = 400;

/** What a follower needs. */
export interface StoreFollowerOptions {
  readonly store: CoordinationStore;
  readonly sections: readonly StoreSection[];
  /** Prefix that covers all sections. */
  readonly watchedPrefix: string;
  readonly log: Logger;
  /** Called with the time at which a question was sent that got its answer. */
  readonly onConfirmed: (sentAt: ClockReading) => void;
}

/**
 * Follows the store: reads every section once, then watches for changes.
 *
 * Each answer proves that everything written before its question was sent is
 * known; whoever acts on the store's content relies on that.
 */
export class StoreFollower extends TaskLifecycle {
  private readonly ending = new AbortController();
  private revision = 0;
  private pauseMs = FIRST_PAUSE_MS;
  private isConnected = false;
  private hasRead = false;

  constructor(private readonly options: StoreFollowerOptions) {
    super('store-follower');
  }

  /** Whether every section has been read. */
  get isComplete(): boolean {
    return this.hasRead;
  }

  /** Whether the last call was answered. */
  get isStoreReachable(): boolean {
    return this.isConnected;
  }

  protected override onStart(): Promise<void> {
    void this.follow();
    return Promise.resolve();
  }

  protected override onStop(): Promise<void> {
    this.ending.abort();
    return Promise.resolve();
  }

  private async follow(): Promise<void> {
    while (!this.ending.signal.aborted) {
      try {
        await this.step();
        this.connected();
      } catch (error) {
        await this.failed(error);
      }
    }
  }

  private async step(): Promise<void> {
    const sentAt = readClocks();
    if (!this.hasRead) await this.readSections();
    else await this.watchOnce();
    if (this.hasRead) this.options.onConfirmed(sentAt);
  }

  /** Reads all sections; changes continue from the oldest answer. */
  private async readSections(): Promise<void> {
    const {store, sections} = this.options;
    const answers = await Promise.all(
      sections.map(({prefix}) => within(store.list(prefix), LIST_TIMEOUT_MS)),
    );
    const revisions: number[] = [];
    for (const [index, answer] of answers.entries()) {
      if (answer === TIMED_OUT) throw new Error('The store did not answer.');
      sections[index]?.replace(answer.items);
      revisions.push(answer.revision);
    }
    this.revision = Math.min(...revisions);
    this.hasRead = true;
  }

  private async watchOnce(): Promise<void> {
    const {store, watchedPrefix, log} = this.options;
    const answer = await within(
      store.watch(watchedPrefix, this.revision, WATCH_WAIT_MS),
      WATCH_WAIT_MS + WATCH_GRACE_MS,
    );
    if (answer === TIMED_OUT) throw new Error('The watch was not answered.');
    if (answer.kind === 'history-lost') {
      log.warn('The store dropped its history; reading everything again.', {
        afterRevision: this.revision,
      });
      this.hasRead = false;
      return;
    }
    for (const event of answer.events) this.dispatch(event);
    this.revision = Math.max(this.revision, answer.revision);
  }

  private dispatch(event: StoreEvent): void {
    for (const section of this.options.sections) {
      if (!event.key.startsWith(section.prefix)) continue;
      if (event.item !== undefined) section.written(event.item);
      else section.removed(event.key, event.revision);
    }
  }

  private connected(): void {
    this.pauseMs = FIRST_PAUSE_MS;
    if (this.isConnected) return;
    this.isConnected = true;
    this.options.log.info('The store answers.', {revision: this.revision});
  }

  private async failed(error: unknown): Promise<void> {
    if (this.ending.signal.aborted) return;
    if (this.isConnected || this.pauseMs === FIRST_PAUSE_MS) {
      this.options.log.warn('The store does not answer; trying again.', {
        error: String(error),
        revision: this.revision,
      });
    }
    this.isConnected = false;
    await sleep(this.pauseMs);
    this.pauseMs = Math.min(MAXIMUM_PAUSE_MS, this.pauseMs * 2);
  }
}
