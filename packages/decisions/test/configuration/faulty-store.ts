/** An in-memory store with fault injection, without I/O. */
import type {ConfigurationHead, StoredHead} from '../../src/index.js';
import {decodeHead, EMPTY_HEAD, encodeHead} from '../../src/index.js';

/** A swap that is delivered late and may still take effect. */
interface DelayedSwap {
  readonly expectedStoreVersion: number;
  readonly head: ConfigurationHead;
}

/** Stores the head and the bodies. */
export class FaultyStore {
  readonly bodies = new Map<string, string>();
  private readonly heads: string[] = [];
  private readonly delayed: DelayedSwap[] = [];

  /** @param onSwap - Called whenever a swap takes effect. */
  constructor(private readonly onSwap: (head: ConfigurationHead) => void) {}

  /**
   * Reads the head.
   *
   * @param versionsBack - Number of versions the answer is behind; 0 for the current
   *   head.
   */
  readHead(versionsBack = 0): StoredHead {
    const storeVersion = Math.max(0, this.heads.length - versionsBack);
    const value = this.heads[storeVersion - 1];
    const head = value === undefined ? EMPTY_HEAD : decodeHead(value);
    return {storeVersion, head};
  }

  /** Swaps the head; returns whether the swap took effect. */
  swap(expectedStoreVersion: number, head: ConfigurationHead): boolean {
    if (this.heads.length !== expectedStoreVersion) return false;
    this.heads.push(encodeHead(head));
    this.onSwap(head);
    return true;
  }

  /** Keeps a swap in transit whose sender has stopped waiting. */
  delay(expectedStoreVersion: number, head: ConfigurationHead): void {
    this.delayed.push({expectedStoreVersion, head});
  }

  /** Delivers the oldest swap in transit. */
  deliverDelayed(): void {
    const swap = this.delayed.shift();
    if (swap !== undefined) this.swap(swap.expectedStoreVersion, swap.head);
  }

  /** Delivers every swap in transit. */
  deliverAll(): void {
    while (this.delayed.length > 0) this.deliverDelayed();
  }
}
