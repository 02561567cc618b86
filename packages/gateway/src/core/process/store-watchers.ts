import type {ClockReading} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {CoordinationStore, StorePrefixListener} from '../store/index.js';
import {MEMBER_PREFIX} from '../membership/index.js';
import {StoreRelayServer} from '../store-relay/index.js';
import {StoreWatcher, StoreMirror} from '../store/index.js';
import type {ExternalStoreListeners} from './gateway-adapters.js';

/** Prefix of the keys that the proxies share with each other. */
const PROXY_KEY_PREFIX = 'sapphireglade/';

/** How long a watch of the proxies' own keys waits, in milliseconds; they change seldom, and a change of primary ends the lease of a proxy whose watch is silent. */
const PROXY_KEY_WATCH_WAIT_MS = 9_000;

/** The same at the coordinator, in milliseconds, which has to learn of failures. */
const COORDINATOR_WATCH_WAIT_MS = 2_000;

/** Shortest time between two watches of those keys at an owner, in milliseconds; the answers to a change of primary come in batches then. */
const OWNER_INTERVAL_MS = 100;

/** Shortest time between two watches of those keys at a proxy that owns nothing, in milliseconds; it learns of other owners by its links as well. */
const NON_OWNER_INTERVAL_MS = 1_000;

/** How much earlier than a configuration has to be in force a watch of it ends, in milliseconds, so that one whose answer was lost is asked again in time. */
const CONFIGURATION_MARGIN_MS = 2_000;

/** Shortest wait of such a watch, in milliseconds. */
const MINIMUM_CONFIGURATION_WAIT_MS = 500;

/** Shortest time between two watches of the configuration, in milliseconds; versions come in quick succession at times. */
const CONFIGURATION_INTERVAL_MS = 300;

/** How long a watch of the directory waits, in milliseconds. */
const DIRECTORY_WATCH_WAIT_MS = 500;

/** Shortest time between two watches of the directory at the coordinator, in milliseconds; each instance writes there about once a second. */
const COORDINATOR_DIRECTORY_INTERVAL_MS = 1_500;

/** The same at an owner, in milliseconds; half of the time in which a leaving instance has to be left alone. */
const OWNER_DIRECTORY_INTERVAL_MS = 3_000;

/** The same at a proxy that owns nothing, in milliseconds; it only needs to know in which zones instances are. */
const NON_OWNER_DIRECTORY_INTERVAL_MS = 4_000;

/** What the followers are made from. */
export interface StoreWatchersOptions {
  readonly store: CoordinationStore;
  readonly proxyKeyListeners: readonly StorePrefixListener[];
  readonly externalListeners: ExternalStoreListeners;
  /** Within which time a configuration has to be in force, in milliseconds. */
  readonly configurationWithinMs: () => number;
  /** Whether this proxy coordinates; it follows everything itself then. */
  readonly isCoordinator: () => boolean;
  /** Whether this proxy owns any group. */
  readonly ownsAnyGroup: () => boolean;
  /** Whether other proxies tell of members and configuration. */
  readonly isRelayUsed: () => boolean;
  /** Called with the time at which a question about the own keys was sent that got its answer. */
  readonly onProxyKeysConfirmed: (sentAt: ClockReading) => void;
  readonly log: Logger;
}

/** Everything that this process follows in the store. */
export class StoreWatchers {
  /** Follows the proxies' own keys. */
  readonly proxyKeys: StoreWatcher;
  private readonly configuration: StoreWatcher;
  private readonly directory: StoreWatcher;
  private readonly memberMirror = new StoreMirror(MEMBER_PREFIX);
  private readonly configurationMirror: StoreMirror;

  constructor(options: StoreWatchersOptions) {
    const {
      store,
      log,
      ownsAnyGroup: ownsAny,
      isCoordinator,
      externalListeners: announced,
    } = options;
    const isTold = (): boolean => options.isRelayUsed() && !isCoordinator();
    this.configurationMirror = new StoreMirror(announced.configuration.prefix);
    this.proxyKeys = new StoreWatcher({
      store,
      watchedPrefix: PROXY_KEY_PREFIX,
      watchWaitMs: () =>
        isCoordinator() ? COORDINATOR_WATCH_WAIT_MS : PROXY_KEY_WATCH_WAIT_MS,
      minimumIntervalMs: () => {
        if (isCoordinator()) return 0;
        return ownsAny() ? OWNER_INTERVAL_MS : NON_OWNER_INTERVAL_MS;
      },
      shouldPoll: () => false,
      isPaused: isTold,
      listeners: [...options.proxyKeyListeners, this.memberMirror],
      log,
      onConfirmed: options.onProxyKeysConfirmed,
    });
    this.configuration = new StoreWatcher({
      store,
      watchedPrefix: announced.configuration.prefix,
      watchWaitMs: () =>
        Math.max(
          MINIMUM_CONFIGURATION_WAIT_MS,
          options.configurationWithinMs() - CONFIGURATION_MARGIN_MS,
        ),
      minimumIntervalMs: () => CONFIGURATION_INTERVAL_MS,
      shouldPoll: () => false,
      isPaused: isTold,
      listeners: [announced.configuration, this.configurationMirror],
      log,
      onConfirmed: () => undefined,
    });
    this.directory = new StoreWatcher({
      store,
      watchedPrefix: announced.directory.prefix,
      watchWaitMs: () => DIRECTORY_WATCH_WAIT_MS,
      minimumIntervalMs: () => {
        if (isCoordinator()) return COORDINATOR_DIRECTORY_INTERVAL_MS;
        return ownsAny()
          ? OWNER_DIRECTORY_INTERVAL_MS
          : NON_OWNER_DIRECTORY_INTERVAL_MS;
      },
      shouldPoll: () => !ownsAny() && !isCoordinator(),
      isPaused: () => false,
      listeners: [announced.directory],
      log,
      onConfirmed: () => undefined,
    });
  }

  /** What other proxies are told. */
  createRelayServer(): StoreRelayServer {
    return new StoreRelayServer(
      {
        mirror: this.memberMirror,
        revision: () => knownRevision(this.proxyKeys),
      },
      {
        mirror: this.configurationMirror,
        revision: () => knownRevision(this.configuration),
      },
    );
  }

  /** Whether the store answers and the proxies' own keys are known. */
  get isConnected(): boolean {
    return this.proxyKeys.isComplete && this.proxyKeys.isStoreReachable;
  }

  /** Whether the newest state of the directory is known as well. */
  get isDirectoryCurrent(): boolean {
    return this.isConnected && this.directory.isComplete;
  }

  /** Reads the directory now. */
  refreshDirectory(): void {
    this.directory.refresh();
  }

  /** Whether an entry that returns to the directory would be seen. */
  get isDirectoryReachable(): boolean {
    return this.directory.isStoreReachable;
  }

  /** Whether what is known of the directory may be seconds old. */
  get isDirectoryStale(): boolean {
    return !this.directory.isComplete;
  }

  /** Begins to follow. */
  async start(): Promise<void> {
    await this.proxyKeys.start();
    await this.configuration.start();
    await this.directory.start();
  }

  /** Ends. */
  async stop(): Promise<void> {
    await this.proxyKeys.stop(0);
    await this.configuration.stop(0);
    await this.directory.stop(0);
  }
}

/** Up to which revision a follower knows its part, if the store answers it. */
function knownRevision(follower: StoreWatcher): number | undefined {
  const isKnown = follower.isComplete && follower.isStoreReachable;
  return isKnown ? follower.revision : undefined;
}
