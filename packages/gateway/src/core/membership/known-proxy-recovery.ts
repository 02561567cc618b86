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

/** Delay between two keys, and after a failed call, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Options of the recovery. */
export interface KnownProxyRecoveryOptions {
  readonly store: CoordinationStore;
  readonly knownProxies: KnownProxies;
  /** Returns whether the keys of the proxies are followed. */
  readonly isFollowing: () => boolean;
  /** Returns whether they were read since the store was last restored. */
  readonly isUpToDate: () => boolean;
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
  options: KnownProxyRecoveryOptions,
): Promise<void> {
  const {store, knownProxies, isUpToDate} = options;
  await sleep(REPUBLISH_TIME_MS + Math.random() * MAXIMUM_JITTER_MS);
  while (store.generation === generation) {
    // Before the restored list was read, every name counts as lost.
    if (isUpToDate()) {
      const [name] = knownProxies.lostNames;
      if (name === undefined) return;
      await recover(name, generation, options);
    }
    await sleep(RETRY_DELAY_MS);
  }
}

/** Writes the key of one proxy, unless the proxy or another one has. */
async function recover(
  name: string,
  generation: number,
  {store, log}: KnownProxyRecoveryOptions,
): Promise<void> {
  const key = KNOWN_PROXY_PREFIX + name;
  try {
    const {kind} = await store.transact({
      conditions: [{key, revision: 0}],
      puts: [{key, value: knownProxyValue(generation, undefined), leaseId: 0}],
    });
    log.info('A proxy that the restored store had lost is listed again.', {
      member: name,
      result: kind,
    });
  } catch (error) {
    log.warn(
      'A proxy that the restored store had lost could not be listed again; retrying.',
      {member: name, error: String(error)},
    );
  }
}
