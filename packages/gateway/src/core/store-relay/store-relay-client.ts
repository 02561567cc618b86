import {
  canBeginRelay,
  MAXIMUM_RELAY_INTERVAL_MS,
  maximumRelayedAgeMs,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CoordinationStore, StorePrefixListener} from '../store/index.js';
import {steadyNowMs} from '../time/index.js';
import type {RelayResponse, RelayRequest} from './messages.js';
import {
  RELAY_REQUEST_KIND,
  relayResponseSchema,
  RelayedSection,
} from './messages.js';

/** Part by which an interval varies in both directions, so that proxies do not stay in step. */
const INTERVAL_JITTER = 0.25;

/** Mean interval between two relay requests, in milliseconds. */
const POLL_INTERVAL_MS = MAXIMUM_RELAY_INTERVAL_MS / (1 + INTERVAL_JITTER);

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
  /** Returns the time within which a configuration must be in force, in milliseconds. */
  readonly configurationWithinMs: () => number;
  /**
   * Sends a request to a proxy that follows the store; resolves to undefined if
   * none can respond.
   */
  readonly sendRequest: (request: RelayRequest) => Promise<unknown>;
  /** Makes the next request go to another proxy, if there is one. */
  readonly changeSource: () => void;
  /** Called when the store must be followed directly from now on. */
  readonly onFallBack: () => void;
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
 *
 * The age of the relayed configuration adds up over all proxies on the way. Before
 * it reaches the limit, the store is read directly, whether or not the relaying
 * proxy still answers.
 */
export class StoreRelayClient extends SupervisedTask {
  private readonly known = new Map<RelayedSection, number>();
  private isRelayUsed = false;
  private isStopped = false;
  /** Time up to which the configuration is known to be up to date, in milliseconds of the steady clock. */
  private confirmedAtMs = -Infinity;
  private expiryTimer: NodeJS.Timeout | undefined;

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
    clearTimeout(this.expiryTimer);
    return Promise.resolve();
  }

  private async pollLoop(): Promise<void> {
    while (!this.isStopped) {
      await this.step();
      const pauseMs =
        this.options.canUseRelay() && !this.isRelayUsed
          ? FALLBACK_DURATION_MS
          : POLL_INTERVAL_MS;
      const jitter = INTERVAL_JITTER * (2 * Math.random() - 1);
      await sleep(pauseMs * (1 + jitter));
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
    const requestedAtMs = steadyNowMs();
    const response = await this.options.sendRequest({
      kind: RELAY_REQUEST_KIND,
      generation: store.generation,
      known: {
        members: this.known.get(RelayedSection.Members),
        configuration: this.known.get(RelayedSection.Configuration),
      },
    });
    const result = relayResponseSchema.safeParse(response);
    if (!result.success) {
      this.fallBack('no other proxy can relay it');
      return;
    }
    store.observeGeneration(result.data.generation);
    // A proxy that has not seen the restore yet relays what it had before.
    if (result.data.generation !== store.generation) {
      this.fallBack('another proxy relays it as it was before a restore');
      return;
    }
    const {ageMs = Infinity} = result.data.configuration;
    if (!this.confirm(requestedAtMs - ageMs)) return;
    this.isPartial = store.isRestoring;
    for (const section of Object.values(RelayedSection))
      this.applySection(section, result.data);
  }

  /**
   * Applies the time up to which relayed content is known to be up to date.
   *
   * @param confirmedAtMs - The time, in milliseconds of the steady clock.
   * @returns Whether the content may be used.
   */
  private confirm(confirmedAtMs: number): boolean {
    const withinMs = this.options.configurationWithinMs();
    const nowMs = steadyNowMs();
    if (!this.isRelayUsed) {
      if (!canBeginRelay(nowMs - confirmedAtMs, withinMs)) {
        this.fallBack('the content that another proxy relays is too old');
        return false;
      }
      this.confirmedAtMs = confirmedAtMs;
      this.isRelayUsed = true;
      this.options.log.info('Store content is received from other proxies.');
    }
    this.confirmedAtMs = Math.max(this.confirmedAtMs, confirmedAtMs);
    clearTimeout(this.expiryTimer);
    this.expiryTimer = setTimeout(
      () => this.fallBack('the content that another proxy relays is too old'),
      this.confirmedAtMs + maximumRelayedAgeMs(withinMs) - nowMs,
    );
    this.expiryTimer.unref();
    return true;
  }

  /** Follows the store directly from now on, until a proxy relays recent content. */
  private fallBack(reason: string): void {
    this.known.clear();
    clearTimeout(this.expiryTimer);
    const wasUsed = this.isActive;
    this.isRelayUsed = false;
    this.options.changeSource();
    if (!wasUsed) return;
    this.options.log.info('The store is followed directly.', {
      reason,
      ageMs: Math.round(steadyNowMs() - this.confirmedAtMs),
    });
    this.options.onFallBack();
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
