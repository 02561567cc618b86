import type {
  PrimaryRecord,
  ReplicationReport,
  TermFields,
} from '@sapphireglade/decisions';
import {
  confirmersAmong,
  elapsedMs,
  formatPosition,
  PrimaryPhase,
  termFields,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup, VersionedPrimaryRecord} from '../groups/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';
import {recordLeastAcknowledged} from './acknowledged-commits.js';
import {HeldInstances} from './held-instances.js';
import {OrderLog} from './order-log.js';
import {PendingOrder} from './pending-order.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import type {PromotionChoice} from './promotion-orders.js';
import {PromotionOrders} from './promotion-orders.js';
import {PrimaryChangeReason} from './primary-change-reason.js';
import {TargetSelection} from './target-selection.js';
import {writePrimaryRecord} from './write-primary-record.js';
import {ViewRevocation} from './view-revocation.js';

/** Interval between two checks of a condition, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/** How long a planned change waits for releases, in milliseconds; proxies let transactions finish first, for up to 250 ms. */
const RELEASE_TIMEOUT_MS = 350;

/** Delay before instances that did not report are queried again, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Maximum time after a steady record was written in which instances are released, in milliseconds; the process may have been suspended. */
const RELEASE_VALIDITY_MS = 800;

export {PrimaryChangeReason};

/**
 * One change of a group's primary, executed by the coordinator.
 *
 * The order of the steps preserves every acknowledged commit: first the record
 * takes the old primary out of use at all proxies, then replicas stop receiving
 * from it, and only then the replica with the highest position is promoted.
 */
export class PrimaryChange {
  private readonly held: HeldInstances;
  private readonly beganAtMs = steadyNowMs();
  /** Number of promotions that may have been ordered without a new primary being observed. */
  private failedPromotions = 0;
  /** The instance that was ordered to lead last, if its promotion was not observed. */
  private orderedTarget: string | undefined;
  private readonly pendingOrder: PendingOrder;
  private readonly selection: TargetSelection;
  private readonly orders: PromotionOrders;
  private revocation: ViewRevocation | undefined;
  /** Generation of the store in which the change began. */
  private readonly generation: number;
  /** Revision of the coordinator key with which the change began. */
  private readonly coordinatorRevision: number;

  constructor(
    private readonly context: PrimaryChangeContext,
    private readonly group: DatabaseGroup,
    private readonly reason: PrimaryChangeReason,
  ) {
    this.generation = context.store.generation;
    this.coordinatorRevision = context.coordinatorRevision();
    this.held = new HeldInstances(
      context,
      group.name,
      () => this.failedPromotions,
      () => this.orderedTarget,
    );
    const assertStillCoordinator = (): void => this.assertStillCoordinator();
    this.pendingOrder = new PendingOrder(
      context,
      group.name,
      this.held,
      assertStillCoordinator,
    );
    const orderLog = new OrderLog(context, group.name, this.held);
    this.orders = new PromotionOrders(
      context,
      group.name,
      orderLog,
      () => this.isStillCoordinator,
    );
    this.selection = new TargetSelection(
      context,
      group,
      this.held,
      this.pendingOrder,
      orderLog,
      assertStillCoordinator,
    );
  }

  /**
   * Executes the change.
   *
   * @throws RecordConflictError if another proxy is the coordinator by now.
   * @throws SapphiregladeError if the store does not respond.
   */
  async run(): Promise<void> {
    const known = this.group.storedRecord;
    if (known === undefined) throw new Error('The group has no record.');
    this.countStep('begun');
    this.log('A change of primary begins.', {reason: this.reason});
    this.orderedTarget = this.pendingOrder.read(known);
    const {phase, orders = 0} = known.record;
    // An order that is not expected any more has changed nothing since.
    const isPast =
      phase === PrimaryPhase.Steady && this.pendingOrder.pending === undefined;
    this.failedPromotions = isPast ? 0 : orders;
    if (await this.adoptPrimary(known)) return;
    try {
      const announced = await this.announce(known);
      if (this.reason === PrimaryChangeReason.Leaving) {
        await this.awaitReleases(RELEASE_TIMEOUT_MS);
        await this.held.stepDownOldPrimary(announced);
      } else {
        await Promise.all([
          this.held.holdReplicas(announced),
          this.held.stepDownOldPrimary(announced),
        ]);
      }
      await this.promoteUntilSuccess(announced);
    } finally {
      this.revocation?.stop();
    }
  }

  /**
   * Writes the record that takes the primary out of use, and starts to revoke
   * the views of it.
   *
   * If an instance was ordered to lead, the record is written again even if it
   * is already in this phase: proxies may have discovered that instance as
   * primary, and have to release it as well.
   */
  private async announce(
    old: VersionedPrimaryRecord,
  ): Promise<VersionedPrimaryRecord> {
    const isWritten = old.record.phase === PrimaryPhase.Changing;
    const known =
      isWritten && this.failedPromotions === 0
        ? old
        : await this.write({
            ...this.fieldsOfTerm(old.record),
            ...this.pendingOrder.fields,
            phase: PrimaryPhase.Changing,
            isPlanned: this.reason === PrimaryChangeReason.Leaving,
            orders: this.failedPromotions,
          });
    this.revocation?.stop();
    this.revocation = new ViewRevocation(this.context, this.group.name, known);
    return known;
  }

  /** Returns what every record of the change repeats. */
  private fieldsOfTerm(record: PrimaryRecord): TermFields {
    recordLeastAcknowledged(this.context, this.group);
    const departed = this.context.departures.of(this.group.name);
    return {...termFields(record), confirmers: departed.confirmersFor(record)};
  }

  /** Completes the change if an earlier coordinator promoted an instance. */
  private async adoptPrimary(known: VersionedPrimaryRecord): Promise<boolean> {
    if (this.reason !== PrimaryChangeReason.Unfinished) return false;
    const leader = await this.pendingOrder.findPromoted(known);
    if (leader === undefined) return false;
    // It may have led for a while, and who confirmed its commits may have left.
    await this.completeChange(leader, this.failedPromotions);
    return true;
  }

  /** Waits until every proxy has released the old primary, or a time limit. */
  private async awaitReleases(timeoutMs: number): Promise<void> {
    const deadlineMs = steadyNowMs() + timeoutMs;
    while (this.unreleasedProxies.length > 0 && steadyNowMs() < deadlineMs) {
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /**
   * Waits until no proxy can use the old primary any more.
   *
   * @returns Since when, in milliseconds of the steady clock.
   */
  private async awaitViewRevocation(): Promise<number> {
    for (;;) {
      const sinceMs = this.revocation?.completeSinceMs(
        this.held.lastHeldAtMs,
        this.failedPromotions > 0,
        this.held.hasSteppedDown,
      );
      if (sinceMs !== undefined) {
        this.log('The old primary is out of use everywhere.', {
          withoutAnswer: this.unreleasedProxies.join(' '),
        });
        return sinceMs;
      }
      this.assertStillCoordinator();
      await sleep(POLL_INTERVAL_MS);
    }
  }

  private get unreleasedProxies(): readonly string[] {
    return this.revocation?.silent ?? [];
  }

  /** Chooses and promotes candidates until an instance leads. */
  private async promoteUntilSuccess(
    announced: VersionedPrimaryRecord,
  ): Promise<void> {
    let known = announced;
    let wasPending = false;
    for (;;) {
      const isPending = this.pendingOrder.pending !== undefined;
      // The order may have taken effect unseen and have ended the holds.
      if (wasPending && !isPending) this.held.clear();
      wasPending = isPending;
      await this.held.holdReplicas(known);
      const leader = await this.pendingOrder.findLeader();
      if (leader !== undefined) {
        await this.adoptLeader(leader);
        return;
      }
      const unknownTerms = this.held.highestTerm - known.record.term;
      if (unknownTerms > this.failedPromotions) {
        known = await this.restartChange(known, unknownTerms);
        continue;
      }
      if (this.selection.canChoose(known)) {
        const outOfUseAtMs = await this.awaitViewRevocation();
        const choice = await this.selection.select(known, outOfUseAtMs);
        if (choice !== undefined) {
          if (choice.unverified !== undefined) {
            this.countStep('unverified');
            this.selection.reportUnverified(choice);
          }
          const next = await this.promote(known, choice);
          if (next === undefined) return;
          known = next;
        }
      }
      if (this.failedPromotions === 0)
        await this.held.stepDownOldPrimary(known);
      await sleep(RETRY_DELAY_MS);
      this.assertStillCoordinator();
    }
  }

  /**
   * Restarts the change after promotions without an observed new primary.
   *
   * A promoted instance may still become primary, and proxies without access to
   * the store may have discovered it. Its term is therefore skipped, and the
   * proxies' views of it have to expire.
   */
  private restartChange(
    known: VersionedPrimaryRecord,
    promotions: number,
  ): Promise<VersionedPrimaryRecord> {
    this.failedPromotions = promotions;
    this.held.clear();
    return this.announce(known);
  }

  /** Completes the change with an instance that leads a newer term than this change could begin. */
  private async adoptLeader(leader: ReplicationReport): Promise<void> {
    this.context.log.warn('An instance leads that no record names.', {
      group: this.group.name,
      instance: leader.id,
      term: leader.term,
      position: formatPosition(leader.received),
    });
    await this.awaitViewRevocation();
    await this.completeChange(leader, this.failedPromotions);
  }

  /** Orders the promotion with a fencing token written for it. Returns the record with which the change goes on, or undefined if the target leads. */
  private async promote(
    known: VersionedPrimaryRecord,
    choice: PromotionChoice,
  ): Promise<VersionedPrimaryRecord | undefined> {
    const {record: old} = known;
    const {target, position: lastPosition} = choice;
    const writtenAt = readClocks();
    const orders = this.failedPromotions + 1;
    const written = await this.write({
      ...this.fieldsOfTerm(old),
      phase: PrimaryPhase.Changing,
      isPlanned: old.isPlanned,
      orders,
      target,
      lastPosition,
    });
    this.pendingOrder.onRecorded();
    const effective = await this.orders.send(choice, {written, writtenAt});
    // One that was refused changes nothing.
    if (effective === undefined) return known;
    this.pendingOrder.onSent(effective);
    this.orderedTarget = target;
    const leader = await this.orders.awaitLeader(target, old.term);
    this.assertStillCoordinator();
    if (leader === undefined) return this.restartChange(known, orders);
    await this.completeChange(leader.report, orders, {
      initialPosition: lastPosition,
      primaryBornAtMs: leader.endpoint.bornAtMs,
    });
    return undefined;
  }

  /**
   * Records the new primary and lets the replicas replicate from it.
   *
   * @param leader - Report of the instance that leads.
   * @param orders - Number of orders that may have been given in the term.
   * @param began - How its term began. If the position is unknown, the one of
   *   now counts, which includes the commits of earlier terms.
   */
  private async completeChange(
    leader: ReplicationReport,
    orders: number,
    began: Pick<PrimaryRecord, 'initialPosition' | 'primaryBornAtMs'> = {},
  ): Promise<void> {
    const instances = this.context.directory.findByGroup(this.group.name);
    const {pending} = this.pendingOrder;
    // One of several orders has taken effect; the others may still do so.
    const outstanding =
      orders > 1 && pending?.target === leader.id
        ? {outstandingOrder: pending, orders: orders - 1}
        : {};
    const writtenAt = readClocks();
    await this.write({
      ...outstanding,
      term: leader.term,
      primary: leader.id,
      phase: PrimaryPhase.Steady,
      ...began,
      initialPosition: began.initialPosition ?? leader.received,
      confirmers: {instances: confirmersAmong(instances, leader.id)},
    });
    this.countStep('led');
    this.log('Another instance leads.', {
      primary: leader.id,
      term: leader.term,
      tookMs: Math.round(steadyNowMs() - this.beganAtMs),
    });
    // The next coordinator may have held the instances in the meantime.
    const isLate = elapsedMs(writtenAt, readClocks()) > RELEASE_VALIDITY_MS;
    if (isLate || !this.isStillCoordinator) return;
    const others = this.context.directory
      .findByGroup(this.group.name)
      .filter(({id}) => id !== leader.id);
    await this.held.sendToAll(others, {kind: CommandKind.ReleaseTerm});
  }

  /** Writes a record of this change. */
  private write(record: PrimaryRecord): Promise<VersionedPrimaryRecord> {
    this.assertStillCoordinator();
    return writePrimaryRecord(this.context, this.group, record);
  }

  /** Throws if the role was lost since the change began, even if this proxy has claimed it again: the record may be another one by now. */
  private assertStillCoordinator(): void {
    if (this.isStillCoordinator) return;
    throw new Error('This proxy no longer coordinates.');
  }

  /** Whether the role is still the one with which the change began. */
  private get isStillCoordinator(): boolean {
    const {store, coordinatorRevision} = this.context;
    const isSameRole =
      coordinatorRevision() === this.coordinatorRevision &&
      store.generation === this.generation;
    return this.coordinatorRevision !== 0 && isSameRole;
  }

  private countStep(step: 'begun' | 'ordered' | 'led' | 'unverified'): void {
    this.context.metrics.increment('sapphireglade_changes_of_primary_total', {
      step,
    });
  }

  private log(
    message: string,
    fields: Record<string, string | number | undefined>,
  ): void {
    this.context.log.info(message, {group: this.group.name, ...fields});
  }
}
