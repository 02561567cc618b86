import type {StoredItem} from '../store/index.js';
import {StorePrefixListener} from '../store/index.js';
import {steadyNowMs} from '../time/index.js';

/** Prefix of the keys of all proxies that may be running. */
export const KNOWN_PROXY_PREFIX = 'sapphireglade/known/';

/** Content of the key of one proxy. */
interface KnownProxyEntry {
  /** View lease of the proxy; undefined if it is not known. */
  readonly lease: number | undefined;
  /** Generation of the store that granted the lease. */
  readonly generation: number;
  /**
   * Revision at which the key was written; 0 if the store has lost the key by a
   * restore.
   */
  readonly revision: number;
}

/**
 * Returns the value of the key of a proxy.
 *
 * @param generation - Generation of the store.
 * @param lease - View lease of the proxy; undefined if it is not known.
 */
export function knownProxyValue(
  generation: number,
  lease: number | undefined,
): string {
  return `${generation}/${lease ?? ''}`;
}

/**
 * Every proxy that may be running, whether or not it can reach the store.
 *
 * A proxy whose lease has expired may continue to serve behind a partition, so
 * its name is kept until it has stopped gracefully or has been absent for a
 * long time. A change of primary waits for the views of all of them.
 */
export class KnownProxies extends StorePrefixListener {
  /** Names that were present when the keys were first read. */
  private earlierNames: readonly string[] | undefined;
  private readonly keys = new Map<string, KnownProxyEntry>();
  /** When a proxy was last removed, in milliseconds of the steady clock. */
  private removedAtMs = -Infinity;

  /** @param generation - Returns the current generation of the store. */
  constructor(private readonly generation: () => number = () => 0) {
    super(KNOWN_PROXY_PREFIX);
  }

  /** Names of the proxies. */
  get names(): string[] {
    return [...this.keys.keys()];
  }

  /**
   * Returns the proxies that ran before this process started.
   *
   * @param self - Name of this proxy.
   * @returns Their names; empty if this proxy was not among them.
   */
  earlierProxies(self: string): readonly string[] {
    const names = this.earlierNames ?? [];
    return names.includes(self) ? names : [];
  }

  /** Whether the fleet ran before this process started. */
  get hasEarlierProxies(): boolean {
    return (this.earlierNames ?? []).length > 0;
  }

  /** Whether a proxy of this name may be running, according to the store. */
  has(name: string): boolean {
    return this.keys.has(name);
  }

  /**
   * Returns the view lease of a proxy, if it has published one since the store
   * was last restored. An earlier lease is void, and its id may belong to
   * another proxy.
   */
  leaseOf(name: string): number | undefined {
    const entry = this.keys.get(name);
    return entry?.generation === this.generation() ? entry.lease : undefined;
  }

  /** Names of the proxies whose keys the store has lost by a restore. */
  get lostNames(): string[] {
    return [...this.keys]
      .filter(([, {revision}]) => revision === 0)
      .map(([name]) => name);
  }

  override onRestored(): void {
    for (const [name, entry] of this.keys)
      this.keys.set(name, {...entry, revision: 0});
  }

  /**
   * Returns the revision at which the key of a proxy was written; 0 if there is
   * none.
   */
  revisionOf(name: string): number {
    return this.keys.get(name)?.revision ?? 0;
  }

  override onSnapshot(items: readonly StoredItem[]): void {
    // A key that a restore has lost is kept until it is written again.
    const lost = this.lostNames;
    const gone = this.names.filter(name => !lost.includes(name));
    for (const name of gone) this.keys.delete(name);
    const isAnyGone = gone.some(
      name => !items.some(({key}) => key === KNOWN_PROXY_PREFIX + name),
    );
    if (isAnyGone) this.removedAtMs = steadyNowMs();
    for (const item of items) this.onPut(item);
    this.earlierNames ??= this.names;
  }

  override onPut(item: StoredItem): void {
    const name = item.key.slice(KNOWN_PROXY_PREFIX.length);
    const [generation = '', lease = ''] = item.value
      .toString('utf8')
      .split('/');
    this.keys.set(name, {
      lease: lease === '' ? undefined : Number(lease),
      generation: Number(generation),
      revision: item.revision,
    });
  }

  override onDelete(key: string): void {
    this.keys.delete(key.slice(KNOWN_PROXY_PREFIX.length));
    this.removedAtMs = steadyNowMs();
  }

  /** Time since a proxy was last removed, in milliseconds. */
  get unchangedForMs(): number {
    return steadyNowMs() - this.removedAtMs;
  }
}
