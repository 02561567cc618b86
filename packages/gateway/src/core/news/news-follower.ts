import type {Logger} from '@sapphireglade/runtime';
import {TaskLifecycle} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {StoreSection} from '../store/index.js';
import type {NewsAnswer, NewsRequest} from './messages.js';
import {NEWS_KIND, newsAnswerSchema, NewsPart} from './messages.js';

/** Pause between two questions, in milliseconds. */
const INTERVAL_MS = 500;

/** For how long the store is followed directly after no proxy could tell news, in milliseconds. */
const FALLBACK_MS = 1_500;

/** What the follower works with. */
export interface NewsFollowerOptions {
  /** Whether this proxy may rely on others for its news. */
  readonly mayRely: () => boolean;
  /** Asks a proxy that follows the store; gives nothing if none can tell. */
  readonly ask: (request: NewsRequest) => Promise<unknown>;
  readonly sections: Readonly<Record<NewsPart, StoreSection>>;
  readonly log: Logger;
}

/**
 * Learns of live proxies and the configuration from proxies that follow the
 * store, so that hundreds that own nothing cost the store next to nothing.
 *
 * What is learned in this way proves nothing about records of primaries; a
 * proxy that begins to own groups reads the store itself.
 */
export class NewsFollower extends TaskLifecycle {
  private readonly known = new Map<NewsPart, number>();
  private isRelying = false;
  private isEnding = false;

  constructor(private readonly options: NewsFollowerOptions) {
    super('news-follower');
  }

  /** Whether news come from others at present. */
  get isActive(): boolean {
    return this.isRelying && this.options.mayRely();
  }

  protected override onStart(): Promise<void> {
    void this.follow();
    return Promise.resolve();
  }

  protected override onStop(): Promise<void> {
    this.isEnding = true;
    return Promise.resolve();
  }

  private async follow(): Promise<void> {
    while (!this.isEnding) {
      await this.step();
      const pauseMs =
        this.options.mayRely() && !this.isRelying ? FALLBACK_MS : INTERVAL_MS;
      await sleep(pauseMs * (0.75 + Math.random() / 2));
    }
  }

  private async step(): Promise<void> {
    if (!this.options.mayRely()) {
      // The store is followed directly from now on; nothing is known by relay.
      this.known.clear();
      this.isRelying = false;
      return;
    }
    const answer = await this.options.ask({
      kind: NEWS_KIND,
      known: {
        members: this.known.get(NewsPart.Members),
        configuration: this.known.get(NewsPart.Configuration),
      },
    });
    const result = newsAnswerSchema.safeParse(answer);
    this.noteRelying(result.success);
    if (!result.success) {
      this.known.clear();
      return;
    }
    for (const part of Object.values(NewsPart)) this.apply(part, result.data);
  }

  private noteRelying(isRelying: boolean): void {
    if (isRelying === this.isRelying) return;
    this.isRelying = isRelying;
    this.options.log.info(
      isRelying
        ? 'News of the store come from other proxies.'
        : 'No other proxy tells news; the store is followed directly.',
    );
  }

  private apply(part: NewsPart, answer: NewsAnswer): void {
    const section = this.options.sections[part];
    const {isWhole, items, removals, revision} = answer[part];
    const known = this.known.get(part) ?? 0;
    // An older list must not bring back what has gone.
    if (isWhole && revision < known) return;
    const stored = items.map(item => ({
      ...item,
      value: Buffer.from(item.value),
    }));
    if (isWhole) section.replace(stored);
    else for (const item of stored) section.written(item);
    for (const each of removals) section.removed(each.key, each.revision);
    this.known.set(part, Math.max(known, revision));
  }
}
