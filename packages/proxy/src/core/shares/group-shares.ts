import type {
  HolderObservations,
  ShareHolder,
  ShareSwapState,
  ShareRequest,
} from '@sapphireglade/decisions';
import {
  decodeShareRecord,
  encodeShareRecord,
  grantsOf,
  nextShareSwap,
  observeShares,
  planShareChange,
  guaranteedConnections,
  shareRecordKey,
  UNKNOWN_SHARES,
  unrequestedInstances,
} from '@sapphireglade/decisions';
import type {ShareGrant, ShareRecord} from '@sapphireglade/decisions';
import type {PlatformStore} from '../store/index.js';

/** Maximum attempts per review to change a record that others also change. */
const MAXIMUM_ATTEMPTS = 5;

/** The cached share record of one group, and its changes by this process. */
export class GroupShares {
  private state: ShareSwapState = UNKNOWN_SHARES;

  /**
   * @param group - Name of the group.
   * @param self - Identifies this run of this process.
   * @param store - The platform's store.
   */
  constructor(
    private readonly group: string,
    private readonly self: ShareHolder,
    private readonly store: PlatformStore,
  ) {}

  /** Returns the number of connections this process may hold to an instance. */
  allowedConnections(instance: string): number {
    return guaranteedConnections(this.state, this.self, instance);
  }

  /** Returns the shares of an instance, as last read from the store. */
  grants(instance: string): readonly ShareGrant[] {
    const {stored} = this.state;
    return stored === undefined ? [] : grantsOf(stored.record, instance);
  }

  /**
   * Returns whether the record must change, or the result of a change is
   * unknown.
   */
  needsChange(
    requests: readonly ShareRequest[],
    holders: HolderObservations,
  ): boolean {
    const {stored, pending} = this.state;
    if (stored === undefined) return requests.some(({size}) => size > 0);
    if (pending !== undefined) return true;
    return this.planRecord(stored.record, requests, holders, '') !== undefined;
  }

  /** Returns whether every requested share is held. */
  isFulfilled(requests: readonly ShareRequest[]): boolean {
    return requests.every(
      ({instance, size}) => size === 0 || this.allowedConnections(instance) > 0,
    );
  }

  /**
   * Reads the record and makes the changes that this process may make.
   *
   * @param createWriteId - Creates a write identifier.
   * @throws SapphiregladeError of kind `store-unavailable`.
   */
  async reviewShares(
    requests: readonly ShareRequest[],
    holders: HolderObservations,
    createWriteId: () => string,
  ): Promise<void> {
    await this.read();
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const next = nextShareSwap(this.state, record =>
        this.planRecord(record, requests, holders, createWriteId()),
      );
      if (next === undefined) return;
      this.state = next.state;
      const answer = await this.store.compareAndSwap({
        key: shareRecordKey(this.group),
        expectedVersion: next.swap.expectedStoreVersion,
        value: encodeShareRecord(next.swap.record),
      });
      const value = answer.swapped
        ? encodeShareRecord(next.swap.record)
        : answer.value;
      this.observe(answer.version, value);
    }
  }

  private async read(): Promise<void> {
    const {version, value} = await this.store.get(shareRecordKey(this.group));
    this.observe(version, value);
  }

  private observe(storeVersion: number, value: string | null): void {
    const record = decodeShareRecord(value);
    this.state = observeShares(this.state, {storeVersion, record});
  }

  private planRecord(
    record: ShareRecord,
    requests: readonly ShareRequest[],
    holders: HolderObservations,
    writeId: string,
  ): ShareRecord | undefined {
    const unrequested = unrequestedInstances(record, this.self, requests);
    const all = [
      ...requests,
      ...unrequested.map(instance => ({
        instance,
        size: 0,
        limit: 0,
        openConnections: 0,
      })),
    ];
    return planShareChange(record, this.self, all, holders, writeId);
  }
}
