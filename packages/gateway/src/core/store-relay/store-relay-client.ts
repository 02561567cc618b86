import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CoordinationStore, StorePrefixListener} from '../store/index.js';
import type {RelayResponse, RelayRequest} from './messages.js';
import {
  RELAY_REQUEST_KIND,
  relayResponseSchema,
  RelayedSection,
} from './messages.js';

/** Mean interval between two relay requests, in milliseconds. */
const POLL_INTERVAL_MS = 500;

/**
 * How long the store is followed directly after no proxy could relay it, in
 * milliseconds.
 */
const FALLBACK_DURATION_MS = 1_500;

/** Options of the relay client. */
export interface StoreRelayClientOptions {
  /** The store, which tracks the generation of the content. */
  readonly store: CoordinationStore;
  /**
   * Returns whether this proxy may receive store content from other proxies.
   */
  readonly canUseRelay: () => boolean;
  /**
   * Sends a request to a proxy that follows the store; resolves to undefined if
   * none can respond.
   */
  readonly sendRequest: (request: RelayRequest) => Promise<unknown>;
  readonly listeners: Readonly<Record<RelayedSection, StorePrefixListener>>;
  readonly log: Logger;
}

/**
 * Receives the live proxies and the configuration from proxies that follow the
 * store, so that hundreds of proxies that own no group put hardly any load on
 * the store.
 *
 * Relayed content proves nothing about records of primaries; a proxy that
 * starts to own groups reads the store itself.
 */
export class StoreRelayClient extends SupervisedTask {
  private readonly known = new Map<RelayedSection, number>();
  private isRelayUsed = false;
  private isStopped = false;

  /** Whether the last lists may lack what live writers repeat after a restore. */
  private isPartial = false;

  constructor(private readonly options: StoreRelayClientOptions) {
    super('store-relay-client');
    options.store.restored$.subscribe(() => this.known.clear());
  }

  /** Whether store content is currently received from other proxies. */
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
      // The store is followed directly from now on; the relayed revisions are
      // discarded.
      this.known.clear();
      this.isRelayUsed = false;
      return;
    }
    const {store} = this.options;
    if (this.isPartial && store.isSettled) this.known.clear();
    const response = await this.options.sendRequest({
      kind: RELAY_REQUEST_KIND,
      generation: store.generation,
      known: {
        members: this.known.get(RelayedSection.Members),
        configuration: this.known.get(RelayedSection.Configuration),
      },
    });
    const result = relayResponseSchema.safeParse(response);
    this.updateRelayUsed(result.success);
    if (!result.success) {
      this.known.clear();
      return;
    }
    store.observeGeneration(result.data.generation);
    // A proxy that has not seen the restore yet relays what it had before.
    if (result.data.generation !== store.generation) {
      this.updateRelayUsed(false);
      return;
    }
    this.isPartial = store.isRestoring;
    for (const section of Object.values(RelayedSection))
      this.applySection(section, result.data);
  }

  private updateRelayUsed(isUsed: boolean): void {
    if (isUsed === this.isRelayUsed) return;
    this.isRelayUsed = isUsed;
    this.options.log.info(
      isUsed
        ? 'Store content is received from other proxies.'
        : 'No other proxy can relay store content; following the store directly.',
    );
  }

  private applySection(section: RelayedSection, response: RelayResponse): void {
    const listener = this.options.listeners[section];
    const {isWhole, items, removals, revision} = response[section];
    const knownRevision = this.known.get(section) ?? 0;
    // An older snapshot must not restore removed keys.
    if (isWhole && revision < knownRevision) return;
    const stored = items.map(item => ({
      ...item,
      value: Buffer.from(item.value),
    }));
    if (isWhole && !this.isPartial) listener.onSnapshot(stored);
    else for (const item of stored) listener.onPut(item);
    for (const each of removals) listener.onDelete(each.key, each.revision);
    this.known.set(section, Math.max(knownRevision, revision));
  }
}
