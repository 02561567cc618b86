import type {Logger} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {CoordinationStore} from '../store/index.js';
import type {KnownProxies} from './known-proxies.js';
import {KNOWN_PROXY_PREFIX, knownProxyValue} from './known-proxies.js';

/**
 * How long proxies have to publish themselves again after a restore, in
 * milliseconds; below the time after which the store counts as settled.
 */
const REPUBLISH_TIME_MS = 1_200;

/** Maximum random delay that keeps proxies from writing together, in milliseconds. */
const MAXIMUM_JITTER_MS = 300;

/** Maximum number of keys that one transaction writes. */
const MAXIMUM_KEYS_PER_CALL = 15;

/** Options of the recovery. */
export interface KnownProxyRecoveryOptions {
  readonly store: CoordinationStore;
  readonly knownProxies: KnownProxies;
  /** Returns whether the keys of the proxies are followed and up to date. */
  readonly isFollowing: () => boolean;
  readonly log: Logger;
}

/**
 * Writes the keys of proxies again that a restore of the store has lost.
 *
 * A proxy that registered shortly before and has lost the store since may still
 * use its view of a primary, so a change of primary has to wait for it.
 *
 * @param options - Dependencies of the recovery.
 */
export function recoverKnownProxies(options: KnownProxyRecoveryOptions): void {
  options.store.restored$.subscribe(generation => {
    // A proxy that did not follow the keys may list others that have left.
    if (options.isFollowing()) void recoverAfter(generation, options);
  });
}

async function recoverAfter(
  generation: number,
  {store, knownProxies, log}: KnownProxyRecoveryOptions,
): Promise<void> {
  await sleep(REPUBLISH_TIME_MS + Math.random() * MAXIMUM_JITTER_MS);
  const names = knownProxies.lostNames.slice(0, MAXIMUM_KEYS_PER_CALL);
  if (names.length === 0 || store.generation !== generation) return;
  const keys = names.map(name => KNOWN_PROXY_PREFIX + name);
  try {
    const {kind} = await store.transact({
      conditions: keys.map(key => ({key, revision: 0})),
      puts: keys.map(key => ({
        key,
        value: knownProxyValue(generation, undefined),
        leaseId: 0,
      })),
    });
    log.info('Proxies that the restored store had lost were listed again.', {
      members: names.join(' '),
      result: kind,
    });
  } catch (error) {
    log.warn(
      'Proxies that the restored store had lost could not be listed again.',
      {members: names.join(' '), error: String(error)},
    );
  }
}
