import type {StoredItem} from '../store/index.js';
import {StorePrefixListener} from '../store/index.js';

/** Prefix of the keys of all proxies that may be running. */
export const KNOWN_PROXY_PREFIX = 'sapphireglade/known/';

/** Content of the key of one proxy. */
interface KnownProxyEntry {
  /** View lease of the proxy. */
  readonly lease: number;
  /** Revision at which the key was written. */
  readonly revision: number;
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

  constructor() {
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

  /** Returns the view lease of a proxy, if it has published one. */
  leaseOf(name: string): number | undefined {
    return this.keys.get(name)?.lease;
  }

  /**
   * Returns the revision at which the key of a proxy was written; 0 if there is
   * none.
   */
  revisionOf(name: string): number {
    return this.keys.get(name)?.revision ?? 0;
  }

  override onSnapshot(items: readonly StoredItem[]): void {
    this.keys.clear();
    for (const item of items) this.onPut(item);
    this.earlierNames ??= this.names;
  }

  override onPut(item: StoredItem): void {
    const name = item.key.slice(KNOWN_PROXY_PREFIX.length);
    const lease = Number(item.value.toString('utf8'));
    this.keys.set(name, {lease, revision: item.revision});
  }

  override onDelete(key: string): void {
    this.keys.delete(key.slice(KNOWN_PROXY_PREFIX.length));
  }
}
