import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {StorePrefixListener} from '../store/index.js';
import type {RelayResponse, RelayRequest} from './messages.js';
import {
  RELAY_REQUEST_KIND,
  relayResponseSchema,
  RelayedSection,
} from './messages.js';

/** Pause between two questions, in milliseconds. */
const POLL_INTERVAL_MS = 500;

/** For how long the store is followed directly after no proxy could tell news, in milliseconds. */
const FALLBACK_DURATION_MS = 1_500;

/** What the follower works with. */
export interface StoreRelayClientOptions {
  /** Whether this proxy may rely on others for its news. */
  readonly canUseRelay: () => boolean;
  /** Asks a proxy that follows the store; gives nothing if none can tell. */
  readonly sendRequest: (request: RelayRequest) => Promise<unknown>;
  readonly listeners: Readonly<Record<RelayedSection, StorePrefixListener>>;
  readonly log: Logger;
}

/**
 * Learns of live proxies and the configuration from proxies that follow the
 * store, so that hundreds that own nothing cost the store next to nothing.
 *
 * What is learned in this way proves nothing about records of primaries; a
 * proxy that begins to own groups reads the store itself.
 */
export class StoreRelayClient extends SupervisedTask {
  private readonly known = new Map<RelayedSection, number>();
  private isRelayUsed = false;
  private isStopped = false;

  constructor(private readonly options: StoreRelayClientOptions) {
    super('news-follower');
  }

  /** Whether news come from others at present. */
  get isActive(): boolean {
    return this.isRelayUsed && this.options.canUseRelay();
  }

  protected override onStart(): Promise<void> {
    void this.pollLoop();
    return Promise.resolve();
  }

  protected override onStop(): Promise<void> {
    this.isStopped = true;
    return Promise.resolve();
  }

  private async pollLoop(): Promise<void> {
    while (!this.isStopped) {
      await this.step();
      const pauseMs =
        this.options.canUseRelay() && !this.isRelayUsed
          ? FALLBACK_DURATION_MS
          : POLL_INTERVAL_MS;
      await sleep(pauseMs * (0.75 + Math.random() / 2));
    }
  }

  private async step(): Promise<void> {
    if (!this.options.canUseRelay()) {
      // The store is followed directly from now on; nothing is known by relay.
      this.known.clear();
      this.isRelayUsed = false;
      return;
    }
    const answer = await this.options.sendRequest({
      kind: RELAY_REQUEST_KIND,
      known: {
        members: this.known.get(RelayedSection.Members),
        configuration: this.known.get(RelayedSection.Configuration),
      },
    });
    const result = relayResponseSchema.safeParse(answer);
    this.updateRelayUsed(result.success);
    if (!result.success) {
      this.known.clear();
      return;
    }
    for (const part of Object.values(RelayedSection))
      this.applySection(part, result.data);
  }

  private updateRelayUsed(isRelying: boolean): void {
    if (isRelying === this.isRelayUsed) return;
    this.isRelayUsed = isRelying;
    this.options.log.info(
      isRelying
        ? 'News of the store come from other proxies.'
        : 'No other proxy tells news; the store is followed directly.',
    );
  }

  private applySection(part: RelayedSection, answer: RelayResponse): void {
    const section = this.options.listeners[part];
    const {isWhole, items, removals, revision} = answer[part];
    const known = this.known.get(part) ?? 0;
    // An older list must not bring back what has gone.
    if (isWhole && revision < known) return;
    const stored = items.map(item => ({
      ...item,
      value: Buffer.from(item.value),
    }));
    if (isWhole) section.onSnapshot(stored);
    else for (const item of stored) section.onPut(item);
    for (const each of removals) section.onDelete(each.key, each.revision);
    this.known.set(part, Math.max(known, revision));
  }
}
