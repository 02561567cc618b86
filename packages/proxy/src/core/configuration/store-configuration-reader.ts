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

/** Maximum time that the store holds a watch request, in milliseconds. */
const WATCH_TIMEOUT_MS = 10_000;

/** Maximum number of bodies read concurrently. */
const MAXIMUM_PARALLEL_READS = 8;

/** Reads the configuration head and bodies from the store and applies them. */
export class StoreConfigurationReader {
  private headVersion = 0;

  /**
   * @param store - The platform's store.
   * @param holder - Receives the configuration that was read.
   */
  constructor(
    private readonly store: PlatformStore,
    private readonly holder: LatestConfiguration,
  ) {}

  /**
   * Reads the head and applies it if it is newer.
   *
   * @returns Whether the revision increased.
   */
  async readOnce(): Promise<boolean> {
    return this.applyHead(await this.store.get(HEAD_KEY));
  }

  /**
   * Waits for a newer head and applies it.
   *
   * @returns Whether the revision increased.
   */
  async watchOnce(): Promise<boolean> {
    const answer = await this.store.watch(
      HEAD_KEY,
      this.headVersion,
      WATCH_TIMEOUT_MS,
    );
    return this.applyHead(answer);
  }

  /** Applies a head; stores its version only if all bodies were read. */
  private async applyHead(answer: GetResponse): Promise<boolean> {
    const head = decodeHead(answer.value);
    const {history} = this.holder;
    const missingBodies = listMissingBodies(history, head);
    const bodies = await this.fetchBodies(missingBodies);
    const delta = buildDeltaToHead(history, head, bodies);
    const isComplete = missingBodies.every(({key}) => bodies.has(key));
    if (isComplete) {
      this.headVersion = Math.max(this.headVersion, answer.version);
      this.holder.markLoaded();
    }
    return delta !== undefined && this.holder.apply(delta, 'the store');
  }

  private async fetchBodies(
    missingBodies: readonly MissingBody[],
  ): Promise<Map<string, VersionedResource>> {
    const bodies = new Map<string, VersionedResource>();
    const queue = [...missingBodies];
    const workers = Array.from({length: MAXIMUM_PARALLEL_READS}, async () => {
      for (let next = queue.shift(); next; next = queue.shift()) {
        const {value} = await this.store.get(next.bodyKey);
        if (value === null) continue;
        bodies.set(next.key, decodeBody(value, next.version));
      }
    });
    await Promise.all(workers);
    return bodies;
  }
}
