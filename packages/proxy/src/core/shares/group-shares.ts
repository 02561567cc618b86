import type {
  HolderObservations,
  ShareHolder,
  ShareSwapState,
  ShareRequest,
} from '@sapphireglade/decisions';
import {
  decodeShareRecord,
  encodeShareRecord,
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

/** Attempts of one review to change a record that others change too. */
const MAXIMUM_ATTEMPTS = 5;

/** The shares of one group, as this process knows them. */
export class GroupShares {
  private state: ShareSwapState = UNKNOWN_SHARES;

  /**
   * @param group - Name of the group.
   * @param self - This run of this process.
   * @param store - The platform's store.
   */
  constructor(
    private readonly group: string,
    private readonly self: ShareHolder,
    private readonly store: PlatformStore,
  ) {}

  /** How many connections this process may hold to an instance. */
  allowedConnections(instance: string): number {
    return guaranteedConnections(this.state, this.self, instance);
  }

  /** The shares of an instance, as last seen in the store. */
  grants(instance: string): readonly ShareGrant[] {
    return this.state.stored?.record.instances[instance] ?? [];
  }

  /** Whether a change has to be made, or one is in doubt. */
  needsChange(
    wishes: readonly ShareRequest[],
    evidence: HolderObservations,
  ): boolean {
    const {stored, pending} = this.state;
    if (stored === undefined) return wishes.some(({size}) => size > 0);
    if (pending !== undefined) return true;
    return this.planRecord(stored.record, wishes, evidence, '') !== undefined;
  }

  /** Whether every wish for a share is fulfilled. */
  isFulfilled(wishes: readonly ShareRequest[]): boolean {
    return wishes.every(
      ({instance, size}) => size === 0 || this.allowedConnections(instance) > 0,
    );
  }

  /**
   * Reads the record and changes it as far as this process may.
   *
   * @param writeId - Makes a new write identifier.
   * @throws SapphiregladeError of kind `store-unavailable`.
   */
  async reviewShares(
    wishes: readonly ShareRequest[],
    evidence: HolderObservations,
    writeId: () => string,
  ): Promise<void> {
    await this.read();
    for (let attempt = 0; attempt < MAXIMUM_ATTEMPTS; attempt += 1) {
      const next = nextShareSwap(this.state, record =>
        this.planRecord(record, wishes, evidence, writeId()),
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
    wishes: readonly ShareRequest[],
    evidence: HolderObservations,
    writeId: string,
  ): ShareRecord | undefined {
    const unwished = unrequestedInstances(record, this.self, wishes);
    const all = [
      ...wishes,
      ...unwished.map(instance => ({
        instance,
        size: 0,
        limit: 0,
        openConnections: 0,
      })),
    ];
    return planShareChange(record, this.self, all, evidence, writeId);
  }
}
