import type {
  GetResponse,
  CompareAndSwapResponse,
  CompareAndSwapRequest,
} from '@sapphireglade/protocol';
import {Subject} from 'rxjs';

/** The version and value of one key. */
interface StoredValue {
  readonly version: number;
  readonly value: string;
}

/**
 * Versioned key-value store. The version counter is shared by all keys and
 * rises with each write, so a key that is deleted and created again never
 * reuses an old version.
 */
export class KeyValueStore {
  /** Emits the key of each change. */
  readonly changes$ = new Subject<string>();
  private readonly values = new Map<string, StoredValue>();
  private latestVersion = 0;

  /** Returns the version and value of a key; version 0 if it does not exist. */
  get(key: string): GetResponse {
    const stored = this.values.get(key);
    return {version: stored?.version ?? 0, value: stored?.value ?? null};
  }

  /** Writes a key if its version is the expected one. */
  compareAndSwap({
    key,
    expectedVersion,
    value,
  }: CompareAndSwapRequest): CompareAndSwapResponse {
    if (this.get(key).version !== expectedVersion) {
      return {swapped: false, ...this.get(key)};
    }
    this.latestVersion += 1;
    this.values.set(key, {version: this.latestVersion, value});
    this.changes$.next(key);
    return {swapped: true, ...this.get(key)};
  }

  /** Deletes a key if its version is the expected one. */
  delete(key: string, expectedVersion: number): CompareAndSwapResponse {
    if (this.get(key).version !== expectedVersion) {
      return {swapped: false, ...this.get(key)};
    }
    this.values.delete(key);
    this.changes$.next(key);
    return {swapped: true, version: 0, value: null};
  }

  /** Lists the keys with a prefix, sorted. */
  list(prefix: string): string[] {
    return [...this.values.keys()].filter(key => key.startsWith(prefix)).sort();
  }
}
