import {createSilentLogger} from '@sapphireglade/runtime';
import type {StoreWatchersOptions} from '../../src/core/process/store-watchers.js';
import {StoreWatchers} from '../../src/core/process/store-watchers.js';
import {StoreMirror} from '../../src/index.js';

/** Creates the watchers of an owner that is not the coordinator, unless options say otherwise. */
export function createStoreWatchers(
  options: Pick<StoreWatchersOptions, 'store'> & Partial<StoreWatchersOptions>,
): StoreWatchers {
  return new StoreWatchers({
    proxyKeyListeners: [],
    externalListeners: {
      configuration: new StoreMirror('op/config'),
      directory: new StoreMirror('servers/'),
    },
    configurationWithinMs: () => 3_000,
    leaveWithinMs: () => 7_000,
    isCoordinator: () => false,
    ownsAnyGroup: () => true,
    isRelayUsed: () => false,
    onProxyKeysConfirmed: () => undefined,
    onDirectoryConfirmed: () => undefined,
    log: createSilentLogger(),
    ...options,
  });
}
