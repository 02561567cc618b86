import type {
  PrimarySighting,
  ReplicationReport,
} from '@sapphireglade/decisions';
import {hasLedThroughout, hasOnlyAssumedOrder} from '@sapphireglade/decisions';
import type {RegisteredInstance} from '../directory/index.js';
import type {VersionedPrimaryRecord} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';

/** The old primary as it was before a change of primary stepped it down. */
export class OldPrimarySighting {
  private sighting: PrimarySighting | undefined;
  private sightedAtMs = 0;

  /**
   * @param context - Dependencies of the change.
   * @param orders - Returns the number of promotions that may have been ordered
   *   without a new primary being observed.
   */
  constructor(
    private readonly context: Pick<PrimaryChangeContext, 'directory'>,
    private readonly orders: () => number,
  ) {}

  /**
   * Asks the old primary whether it leads, as long as that can disprove an order.
   *
   * @param known - The record of the change.
   * @param ask - Requests the report of an instance.
   * @returns Whether it may be held; a step-down ends what it could show.
   */
  async observe(
    {record}: VersionedPrimaryRecord,
    ask: (
      instance: RegisteredInstance,
    ) => Promise<ReplicationReport | undefined>,
  ): Promise<boolean> {
    const old = this.context.directory.find(record.primary);
    const isObserved = this.sighting?.entry.incarnation === old?.bornAtMs;
    const isAssumed = hasOnlyAssumedOrder(record, this.orders());
    if (old === undefined || isObserved || !isAssumed) return true;
    const report = await ask(old);
    if (report === undefined) return false;
    const entry = {incarnation: old.bornAtMs, sequence: old.sequence};
    this.sighting = {report, entry};
    this.sightedAtMs = steadyNowMs();
    return true;
  }

  /**
   * Returns the old primary if it has led without interruption until it was held.
   *
   * @param known - The record of the change.
   * @param isHeld - Returns whether an incarnation of it is held.
   */
  findUninterrupted(
    {record}: VersionedPrimaryRecord,
    isHeld: (incarnation: number | undefined) => boolean,
  ): string | undefined {
    const {directory} = this.context;
    const {sighting} = this;
    const {primary} = record;
    const old = directory.find(primary);
    const isRegistered = old !== undefined && directory.isRegistered(primary);
    const hasLed = hasLedThroughout({
      record,
      orders: this.orders(),
      sighting,
      entry: isRegistered
        ? {incarnation: old.bornAtMs, sequence: old.sequence}
        : undefined,
      observedForMs: steadyNowMs() - directory.ageMs - this.sightedAtMs,
    });
    return hasLed && isHeld(sighting?.entry.incarnation) ? primary : undefined;
  }

  /** Forgets the report. */
  clear(): void {
    this.sighting = undefined;
  }
}
