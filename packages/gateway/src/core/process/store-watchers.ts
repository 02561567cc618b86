import type {ClockReading} from '@sapphireglade/decisions';
import {
  directoryReadIntervalMs,
  maximumWatchAgeMs,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {CoordinationStore, StorePrefixListener} from '../store/index.js';
import {MEMBER_PREFIX} from '../membership/index.js';
import type {RelaySource} from '../store-relay/index.js';
import {StoreRelayServer} from '../store-relay/index.js';
import {StoreWatcher, StoreMirror} from '../store/index.js';
import {steadyNowMs} from '../time/index.js';
import type {ExternalStoreListeners} from './gateway-adapters.js';

/** Prefix of the keys that the proxies share. */
const PROXY_KEY_PREFIX = 'sapphireglade/';

/** Wait time of a watch of the proxy keys, in milliseconds; they rarely change, and a change of primary revokes the lease of a proxy whose watch does not respond. */
const PROXY_KEY_WATCH_WAIT_MS = 9_000;

/** Wait time of a watch of the proxy keys at the coordinator, in milliseconds; shorter, because the coordinator must detect failures. */
const COORDINATOR_WATCH_WAIT_MS = 2_000;

/** Minimum interval between two watches of the proxy keys at an owner, in milliseconds; batches the responses to a change of primary. */
const OWNER_INTERVAL_MS = 100;

/** Minimum interval between two watches of the proxy keys at a proxy that owns no group, in milliseconds; it also receives changes of owners over its links. */
const NON_OWNER_INTERVAL_MS = 1_000;

/** Minimum interval between two watches of the configuration, in milliseconds; versions may follow each other quickly. */
const CONFIGURATION_INTERVAL_MS = 300;

/** Wait time of a watch of the directory, in milliseconds. */
const DIRECTORY_WATCH_WAIT_MS = 500;

/** Minimum interval between two watches of the directory at the coordinator, in milliseconds; each instance writes there about once a second. */
const COORDINATOR_DIRECTORY_INTERVAL_MS = 1_500;

/** Part of its interval by which an owner reads the directory earlier at times, so that owners do not stay in step. */
const OWNER_DIRECTORY_JITTER = 0.1;

/** Minimum interval between two watches of the directory at a proxy that owns no group, in milliseconds; it only needs the zones of the instances. */
const NON_OWNER_DIRECTORY_INTERVAL_MS = 4_000;

/** Dependencies and settings of the store watchers. */
export interface StoreWatchersOptions {
  readonly store: CoordinationStore;
  readonly proxyKeyListeners: readonly StorePrefixListener[];
  readonly externalListeners: ExternalStoreListeners;
  /** Returns the time within which a configuration must be in force, in milliseconds. */
  readonly configurationWithinMs: () => number;
  /** Returns the time within which a leaving instance must no longer receive statements, in milliseconds. */
  readonly leaveWithinMs: () => number;
  /** Returns whether this proxy is the coordinator, which watches all keys itself. */
  readonly isCoordinator: () => boolean;
  /** Returns whether this proxy owns any group. */
  readonly ownsAnyGroup: () => boolean;
  /** Returns whether members and configuration are relayed by other proxies. */
  readonly isRelayUsed: () => boolean;
  /** Called with the time at which an answered read of the proxy keys was sent. */
  readonly onProxyKeysConfirmed: (sentAt: ClockReading) => void;
  /** Called with the time at which an answered read of the directory was sent, if the answer was up to date and complete. */
  readonly onDirectoryConfirmed: (sentAt: ClockReading) => void;
  readonly log: Logger;
}

/** All watches of this process on the store. */
export class StoreWatchers {
  /** Watches the proxy keys. */
  readonly proxyKeys: StoreWatcher;
  private readonly configuration: StoreWatcher;
  private readonly directory: StoreWatcher;
  private readonly memberMirror = new StoreMirror(MEMBER_PREFIX);
  private readonly configurationMirror: StoreMirror;
  private readonly store: CoordinationStore;
  /** Relays members and configuration to other proxies. */
  readonly relayServer: StoreRelayServer;

  constructor(options: StoreWatchersOptions) {
    const {store, log, ownsAnyGroup, isCoordinator, externalListeners} =
      options;
    this.store = store;
    const usesRelay = (): boolean => options.isRelayUsed() && !isCoordinator();
    this.configurationMirror = new StoreMirror(
      externalListeners.configuration.prefix,
    );
    this.proxyKeys = new StoreWatcher({
      store,
      watchedPrefix: PROXY_KEY_PREFIX,
      watchWaitMs: () =>
        isCoordinator() ? COORDINATOR_WATCH_WAIT_MS : PROXY_KEY_WATCH_WAIT_MS,
      minimumIntervalMs: () => {
        if (isCoordinator()) return 0;
        return ownsAnyGroup() ? OWNER_INTERVAL_MS : NON_OWNER_INTERVAL_MS;
      },
      shouldPoll: () => false,
      isPaused: usesRelay,
      listeners: [...options.proxyKeyListeners, this.memberMirror],
      log,
      onConfirmed: options.onProxyKeysConfirmed,
    });
    this.configuration = new StoreWatcher({
      store,
      watchedPrefix: externalListeners.configuration.prefix,
      watchWaitMs: () => {
        const {configuration, relayServer} = this;
        const maximumAgeMs = maximumWatchAgeMs(
          options.configurationWithinMs(),
          relayServer.isUsed,
        );
        return Math.max(0, Math.ceil(maximumAgeMs - configuration.ageMs));
      },
      minimumIntervalMs: () => CONFIGURATION_INTERVAL_MS,
      shouldPoll: () => false,
      isPaused: usesRelay,
      listeners: [externalListeners.configuration, this.configurationMirror],
      log,
      onConfirmed: () => undefined,
    });
    this.relayServer = new StoreRelayServer(
      relaySource(this.memberMirror, this.proxyKeys),
      relaySource(this.configurationMirror, this.configuration),
      () => store.generation,
    );
    this.directory = new StoreWatcher({
      store,
      watchedPrefix: externalListeners.directory.prefix,
      watchWaitMs: () => DIRECTORY_WATCH_WAIT_MS,
      minimumIntervalMs: () => {
        if (isCoordinator()) return COORDINATOR_DIRECTORY_INTERVAL_MS;
        if (!ownsAnyGroup()) return NON_OWNER_DIRECTORY_INTERVAL_MS;
        const intervalMs = directoryReadIntervalMs(options.leaveWithinMs());
        return intervalMs * (1 - OWNER_DIRECTORY_JITTER * Math.random());
      },
      shouldPoll: () => !ownsAnyGroup() && !isCoordinator(),
      isPaused: () => false,
      listeners: [externalListeners.directory],
      log,
      onConfirmed: sentAt => {
        // The instances may still have to repeat that they leave.
        if (!store.isRestoring) options.onDirectoryConfirmed(sentAt);
      },
    });
  }

  /** Reads the configuration now. */
  refreshConfiguration(): void {
    this.configuration.refresh();
  }

  /** Whether the store is reachable and the proxy keys have been read. */
  get isConnected(): boolean {
    return this.proxyKeys.isComplete && this.proxyKeys.isStoreReachable;
  }

  /**
   * Whether the directory has been read as well.
   *
   * @param sinceMs - Time of the steady clock after which it must have been
   *   requested, in milliseconds.
   */
  isDirectoryCurrent(sinceMs: number): boolean {
    const {syncedAtMs} = this.directory;
    return (
      this.isConnected && syncedAtMs !== undefined && syncedAtMs >= sinceMs
    );
  }

  /** Whether the store answers reads of the directory, with all that instances have written. */
  get canConfirmDirectory(): boolean {
    return this.directory.isStoreReachable && !this.store.isRestoring;
  }

  /** Reads the directory now. */
  refreshDirectory(): void {
    this.directory.refresh();
  }

  /**
   * When the newest response about the directory was requested, in milliseconds
   * of the steady clock; undefined while the store does not respond, or may lack
   * entries that are written again after a restore.
   */
  get directoryObservedAtMs(): number | undefined {
    if (!this.directory.isStoreReachable || this.store.isRestoring)
      return undefined;
    return this.directory.syncedAtMs ?? steadyNowMs();
  }

  /** Whether the cached state of the directory may be seconds old. */
  get isDirectoryStale(): boolean {
    return !this.directory.isComplete;
  }

  /** Starts all watches. */
  async start(): Promise<void> {
    await this.proxyKeys.start();
    await this.configuration.start();
    await this.directory.start();
  }

  /** Stops all watches. */
  async stop(): Promise<void> {
    await this.proxyKeys.stop(0);
    await this.configuration.stop(0);
    await this.directory.stop(0);
  }
}

function relaySource(mirror: StoreMirror, watcher: StoreWatcher): RelaySource {
  return {
    mirror,
    revision: () => knownRevision(watcher),
    ageMs: () => watcher.ageMs,
  };
}

/** Returns the revision up to which a watcher has read its prefix, if it is complete and the store reachable. */
function knownRevision(watcher: StoreWatcher): number | undefined {
  const isCurrent = watcher.isComplete && watcher.isStoreReachable;
  return isCurrent ? watcher.revision : undefined;
}
