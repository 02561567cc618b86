import type {MissingBody, VersionedResource} from '@sapphireglade/decisions';
import {
  listMissingBodies,
  decodeBody,
  decodeHead,
  buildDeltaToHead,
  HEAD_KEY,
} from '@sapphireglade/decisions';
import type {GetResponse} from '@sapphireglade/protocol';
import type {PlatformStore} from '../store/index.js';
import type {LatestConfiguration} from './latest-configuration.js';

/** Longest wait of one watch at the store, in milliseconds. */
const WATCH_TIMEOUT_MS = 10_000;

/** Bodies that are read at the same time. */
const MAXIMUM_PARALLEL_READS = 8;

/** Reads head and bodies from the store into the holder. */
export class StoreConfigurationReader {
  private headVersion = 0;

  /**
   * @param store - The platform's store.
   * @param holder - Takes what was read.
   */
  constructor(
    private readonly store: PlatformStore,
    private readonly holder: LatestConfiguration,
  ) {}

  /**
   * Reads the head and applies it if it is newer.
   *
   * @returns Whether the revision rose.
   */
  async readOnce(): Promise<boolean> {
    return this.applyHead(await this.store.get(HEAD_KEY));
  }

  /**
   * Waits for a newer head and applies it.
   *
   * @returns Whether the revision rose.
   */
  async watchOnce(): Promise<boolean> {
    const answer = await this.store.watch(
      HEAD_KEY,
      this.headVersion,
      WATCH_TIMEOUT_MS,
    );
    return this.applyHead(answer);
  }

  /** Applies a head; its version counts only once all bodies are there. */
  private async applyHead(answer: GetResponse): Promise<boolean> {
    const head = decodeHead(answer.value);
    const {history} = this.holder;
    const fetches = listMissingBodies(history, head);
    const fetched = await this.fetchBodies(fetches);
    const delta = buildDeltaToHead(history, head, fetched);
    const isComplete = fetches.every(({key}) => fetched.has(key));
    if (isComplete) {
      this.headVersion = Math.max(this.headVersion, answer.version);
      this.holder.markLoaded();
    }
    return delta !== undefined && this.holder.apply(delta, 'the store');
  }

  private async fetchBodies(
    fetches: readonly MissingBody[],
  ): Promise<Map<string, VersionedResource>> {
    const fetched = new Map<string, VersionedResource>();
    const queue = [...fetches];
    const workers = Array.from({length: MAXIMUM_PARALLEL_READS}, async () => {
      for (let next = queue.shift(); next; next = queue.shift()) {
        const {value} = await this.store.get(next.bodyKey);
        if (value === null) continue;
        fetched.set(next.key, decodeBody(value, next.version));
      }
    });
    await Promise.all(workers);
    return fetched;
  }
}
