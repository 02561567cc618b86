import type {
  GroupInstance,
  PrimaryRecord,
  RecordedConfirmers,
  RecordRecovery as Recovery,
  ReplicationReport,
} from '@sapphireglade/decisions';
import {
  confirmersAmong,
  decideRecordRecovery,
  InstanceUse,
  PrimaryPhase,
} from '@sapphireglade/decisions';
import type {DatabaseGroup} from '../groups/index.js';
import {RESTORE_SETTLE_MS} from '../store/index.js';
import {steadyNowMs} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import {writePrimaryRecord} from './write-primary-record.js';

/**
 * Age below which an instance may have been held for a lost order before it
 * started, in milliseconds; an order takes effect within seconds, and the clocks
 * of VMs differ.
 */
const RECENT_START_MS = 10_000;

/**
 * Writes the record of a group that has none, or whose record was written
 * before the store was restored from a backup.
 */
export class RecordRecovery {
  /**
   * Since when a group waits for its instances, in milliseconds of the steady
   * clock, and in which generation of the store.
   */
  private readonly waiting = new Map<
    string,
    {readonly generation: number; readonly sinceMs: number}
  >();
  private readonly loggedReasons = new Map<string, string>();

  /** @param context - Dependencies of the coordinator. */
  constructor(private readonly context: PrimaryChangeContext) {}

  /**
   * Asks the instances of a group, and writes what they show.
   *
   * @param group - The group.
   * @throws RecordConflictError if another proxy is the coordinator by now.
   * @throws SapphiregladeError if the store does not respond.
   */
  async run(group: DatabaseGroup): Promise<void> {
    const {store, directory, control, usePolicy} = this.context;
    // Until then the directory and the list of proxies may be incomplete.
    const settledAtMs = store.generationSinceMs + RESTORE_SETTLE_MS;
    if (!store.isSettled) return;
    if (!this.context.isDirectoryCurrent(settledAtMs)) {
      this.context.refreshDirectory();
      return;
    }
    const {generation} = store;
    const instances = directory.findByGroup(group.name);
    const reports = await Promise.all(
      instances.map(instance =>
        control.sendCommand(instance, {kind: CommandKind.Status}),
      ),
    );
    if (store.generation !== generation) return;
    if (this.isFirstRecord(group) && !reports.some(isHeld)) {
      await this.recordFirstPrimary(group, instances, reports);
      return;
    }
    const sinceMs = this.waitsSinceMs(group.name, generation);
    await this.apply(
      group,
      decideRecordRecovery({
        restored: group.storedRecord?.record,
        remembered: group.recordBeforeRestore?.record,
        instances: instances.map((instance, index) => ({
          id: instance.id,
          bornAtMs: instance.bornAtMs,
          isLeaving: instance.isLeaving,
          report: reports[index],
          mayHaveLostHold: hasStartedRecently(instance.bornAtMs),
          isWithheld: usePolicy.useOf(instance, true) === InstanceUse.Leaving,
        })),
        waitedMs: steadyNowMs() - sinceMs,
        orderPendingMs: this.context.outstandingOrders.limitMs,
      }),
      instances,
    );
  }

  /** Whether the group has just been created, as far as this process knows. */
  private isFirstRecord({
    storedRecord,
    recordBeforeRestore,
  }: DatabaseGroup): boolean {
    return (
      storedRecord === undefined &&
      recordBeforeRestore === undefined &&
      this.context.store.restoresSeen === 0
    );
  }

  /**
   * Writes the first record of a group, once all its instances respond and one
   * of them is primary.
   */
  private async recordFirstPrimary(
    group: DatabaseGroup,
    instances: readonly GroupInstance[],
    reports: readonly (ReplicationReport | undefined)[],
  ): Promise<void> {
    const [leader] = reports
      .filter(report => report !== undefined)
      .filter(({isPrimary}) => isPrimary)
      .sort((left, right) => right.term - left.term);
    const isComplete = reports.every(report => report !== undefined);
    if (leader === undefined || !isComplete) return;
    await this.write(group, toSteadyRecord(leader, instances));
  }

  private async apply(
    group: DatabaseGroup,
    recovery: Recovery,
    instances: readonly GroupInstance[],
  ): Promise<void> {
    this.logRecovery(group, recovery);
    if (recovery.kind === 'wait') return;
    // After a change record, the next check finds an unfinished change of primary.
    if (recovery.kind === 'change') await this.write(group, recovery.record);
    else await this.confirm(group, toSteadyRecord(recovery.leader, instances));
    this.waiting.delete(group.name);
  }

  /** Records a leader that stays in use, without the instances that are gone and that its log includes. */
  private async confirm(
    group: DatabaseGroup,
    record: PrimaryRecord,
  ): Promise<void> {
    const {departures, store} = this.context;
    const {generation} = store;
    const known = this.knownRecord(group, record);
    if (known !== undefined) await departures.recover(group.name, known);
    // The reports say nothing about a later generation.
    if (store.generation === generation) await this.write(group, record);
  }

  private async write(
    group: DatabaseGroup,
    record: PrimaryRecord,
  ): Promise<void> {
    await writePrimaryRecord(this.context, group, {
      ...record,
      confirmers: this.confirmersOf(group, record),
    });
  }

  /** Returns who may have confirmed commits of the term, as far as it is known. */
  private confirmersOf(
    group: DatabaseGroup,
    record: PrimaryRecord,
  ): RecordedConfirmers | undefined {
    const {departures, directory} = this.context;
    const known = this.knownRecord(group, record);
    if (known !== undefined)
      return departures.of(group.name).confirmersFor(known);
    const instances = directory.findByGroup(group.name);
    return {instances: confirmersAmong(instances, record.primary)};
  }

  /** Returns the newest record of an earlier generation that names a primary and its term, if any does. */
  private knownRecord(
    {recordBeforeRestore, storedRecord}: DatabaseGroup,
    {term, primary}: PrimaryRecord,
  ): PrimaryRecord | undefined {
    return [recordBeforeRestore, storedRecord]
      .map(versioned => versioned?.record)
      .find(record => record?.term === term && record.primary === primary);
  }

  private waitsSinceMs(group: string, generation: number): number {
    const known = this.waiting.get(group);
    if (known?.generation === generation) return known.sinceMs;
    const sinceMs = steadyNowMs();
    this.waiting.set(group, {generation, sinceMs});
    return sinceMs;
  }

  private logRecovery(group: DatabaseGroup, recovery: Recovery): void {
    const reason = recovery.kind === 'wait' ? recovery.reason : undefined;
    const text = `${recovery.kind} ${reason}`;
    if (this.loggedReasons.get(group.name) === text) return;
    this.loggedReasons.set(group.name, text);
    this.context.log.info(
      'The record of a primary is missing or older than the restored store.',
      {
        group: group.name,
        action: recovery.kind,
        waitsFor: reason,
        restoredTerm: group.storedRecord?.record.term,
        rememberedTerm: group.recordBeforeRestore?.record.term,
        generation: this.context.store.generation,
      },
    );
  }
}

/**
 * Returns the record of a leader that stays in use.
 *
 * @param leader - What it reported.
 * @param instances - The instances, as they were before they were asked.
 */
function toSteadyRecord(
  {term, id, received}: ReplicationReport,
  instances: readonly GroupInstance[],
): PrimaryRecord {
  const primaryBornAtMs = instances.find(each => each.id === id)?.bornAtMs;
  return {
    term,
    primary: id,
    phase: PrimaryPhase.Steady,
    // Includes every commit of earlier terms, and what departed instances may
    // have confirmed.
    initialPosition: received,
    primaryBornAtMs,
  };
}

/** Returns whether an instance is held, so that a change of primary has begun. */
function isHeld(report: ReplicationReport | undefined): boolean {
  return report !== undefined && report.heldTerm > report.term;
}

/** Returns whether an instance started so recently that an earlier hold may have been lost. */
function hasStartedRecently(bornAtMs: number | undefined): boolean {
  return bornAtMs === undefined || Date.now() - bornAtMs < RECENT_START_MS;
}
