import type {
  LogPosition,
  PrimaryRecord,
  ReplicationReport,
  TermFields,
} from '@sapphireglade/decisions';
import {
  confirmersAmong,
  elapsedMs,
  fencingTokenOf,
  formatPosition,
  PrimaryPhase,
  termFields,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {DatabaseGroup, VersionedPrimaryRecord} from '../groups/index.js';
import {readClocks, steadyNowMs} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';
import {EarlierOrder} from './earlier-order.js';
import {HeldInstances} from './held-instances.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import {PromotionResult} from './promotion-service.js';
import {PrimaryChangeReason} from './primary-change-reason.js';
import {TargetChoiceLog} from './target-choice-log.js';
import {writePrimaryRecord} from './write-primary-record.js';
import {ViewRevocation} from './view-revocation.js';

/** Interval between two checks of a condition, in milliseconds. */
const POLL_INTERVAL_MS = 25;

/** How long a planned change waits for proxies to release the primary, in milliseconds; they let transactions finish first, for up to 250 ms. */
const RELEASE_TIMEOUT_MS = 350;

/** Delay before instances that did not report are queried again, in milliseconds. */
const RETRY_DELAY_MS = 100;

/** Maximum age of the fencing token when a promotion is ordered, in milliseconds. */
const TOKEN_VALIDITY_MS = 800;

/** Maximum time for a promoted instance to become primary, in milliseconds. */
const PROMOTION_TIMEOUT_MS = 4_000;

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
  private readonly earlierOrder: EarlierOrder;
  /** Whether the last order may take effect; one that was refused changes nothing. */
  private mayHavePromoted = false;
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
    this.earlierOrder = new EarlierOrder(context, group.name, this.held, () =>
      this.assertStillCoordinator(),
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
    this.failedPromotions = known.record.orders ?? 0;
    this.orderedTarget = this.earlierOrder.read(known);
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
            ...this.earlierOrder.fields,
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
    const departed = this.context.departures.of(this.group.name);
    const confirmers = departed.confirmersFor(record);
    return {...termFields(record), confirmers};
  }

  /** Completes the change if an earlier coordinator promoted an instance. */
  private async adoptPrimary(known: VersionedPrimaryRecord): Promise<boolean> {
    if (this.reason !== PrimaryChangeReason.Unfinished) return false;
    const leader = await this.earlierOrder.findPromoted(known);
    if (leader === undefined) return false;
    // It may have led for a while, and who confirmed its commits may have left.
    await this.completeChange(leader);
    return true;
  }

  /** Waits until every proxy has released the old primary, or a time limit. */
  private async awaitReleases(timeoutMs: number): Promise<void> {
    const deadlineMs = steadyNowMs() + timeoutMs;
    while (this.unreleasedProxies.length > 0 && steadyNowMs() < deadlineMs) {
      await sleep(POLL_INTERVAL_MS);
    }
  }

  /** Waits until no proxy can use the old primary any more. */
  private async awaitViewRevocation(): Promise<void> {
    const isRevoked = (): boolean =>
      this.revocation?.isComplete(
        this.held.lastHeldAtMs,
        this.failedPromotions > 0,
      ) === true;
    while (!isRevoked()) {
      this.assertStillCoordinator();
      await sleep(POLL_INTERVAL_MS);
    }
    this.log('The old primary is out of use everywhere.', {
      withoutAnswer: this.unreleasedProxies.join(' '),
    });
  }

  private get unreleasedProxies(): readonly string[] {
    return this.revocation?.silent ?? [];
  }

  /** Chooses and promotes candidates until an instance leads. */
  private async promoteUntilSuccess(
    announced: VersionedPrimaryRecord,
  ): Promise<void> {
    let known = announced;
    let loggedReason = '';
    const choices = new TargetChoiceLog(this.context, this.group);
    for (;;) {
      await this.held.holdReplicas(known);
      const leader = await this.earlierOrder.findLeader();
      if (leader !== undefined) {
        await this.adoptLeader(leader);
        return;
      }
      const inputs = this.held.targetInputs(known);
      const choice = this.earlierOrder.choose(inputs);
      choices.record(inputs, choice);
      if (choice.kind === 'promote') {
        await this.awaitViewRevocation();
        if (!this.held.areIntact(known)) continue;
        const {target, position, unverified} = choice;
        if (!(await this.held.confirmHolds(known, target))) {
          this.log('The instances changed while they were held.', {target});
          await sleep(RETRY_DELAY_MS);
          continue;
        }
        if (unverified !== undefined) {
          this.countStep('unverified');
          choices.reportUnverified(choice);
        }
        if (await this.promote(known.record, target, position)) return;
        if (this.mayHavePromoted) known = await this.restartChange(known);
      } else if (choice.reason !== loggedReason) {
        loggedReason = choice.reason;
        this.log('The change of primary waits.', {waitsFor: choice.reason});
      }
      if (!this.hasFailedPromotion) await this.held.stepDownOldPrimary(known);
      await sleep(RETRY_DELAY_MS);
      this.assertStillCoordinator();
    }
  }

  /**
   * Restarts the change after a promotion without an observed new primary.
   *
   * The promoted instance may still become primary, and proxies without access
   * to the store may have discovered it. Its term is therefore skipped, and the
   * proxies' views of it have to expire.
   */
  private restartChange(
    known: VersionedPrimaryRecord,
  ): Promise<VersionedPrimaryRecord> {
    this.failedPromotions += 1;
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
    await this.completeChange(leader);
  }

  /** Orders the promotion with a fencing token written for it. Returns whether the target leads. */
  private async promote(
    old: PrimaryRecord,
    target: string,
    lastPosition: LogPosition,
  ): Promise<boolean> {
    const {context, group} = this;
    const sentAt = readClocks();
    const written = await this.write({
      ...this.fieldsOfTerm(old),
      phase: PrimaryPhase.Changing,
      isPlanned: old.isPlanned,
      orders: this.failedPromotions + 1,
      target,
      lastPosition,
    });
    const ageMs = (): number => elapsedMs(sentAt, readClocks());
    this.earlierOrder.onSuperseded();
    const {generation = 0, revision} = written;
    const fencingToken = fencingTokenOf(generation, revision);
    const answer = await context.promotions.promote({
      group: group.name,
      instance: target,
      holder: context.self,
      fencingToken,
      // The store may have been restored since the token was written.
      isValid: () => ageMs() <= TOKEN_VALIDITY_MS && this.isStillCoordinator,
    });
    context.outstandingOrders.settle(group.name, {target, token: fencingToken});
    this.countStep('ordered');
    this.log('A promotion was ordered.', {
      target,
      token: fencingToken,
      answer,
      ageMs: Math.round(ageMs()),
    });
    this.mayHavePromoted =
      answer === PromotionResult.Accepted || answer === PromotionResult.Unknown;
    if (!this.mayHavePromoted) return false;
    this.orderedTarget = target;
    return this.awaitPromotion(target, old.term, lastPosition);
  }

  /** Waits until the promoted instance is primary. Returns false after the time limit. */
  private async awaitPromotion(
    id: string,
    oldTerm: number,
    initialPosition: LogPosition,
  ): Promise<boolean> {
    const deadlineMs = steadyNowMs() + PROMOTION_TIMEOUT_MS;
    while (steadyNowMs() < deadlineMs) {
      this.assertStillCoordinator();
      const endpoint = this.context.directory.find(id);
      if (endpoint === undefined) return false;
      const report = await this.context.control.sendCommand(endpoint, {
        kind: CommandKind.Status,
      });
      if (report?.isPrimary && report.term > oldTerm) {
        const {bornAtMs: primaryBornAtMs} = endpoint;
        await this.completeChange(report, {initialPosition, primaryBornAtMs});
        return true;
      }
      await sleep(POLL_INTERVAL_MS);
    }
    return false;
  }

  /**
   * Records the new primary and lets the replicas replicate from it.
   *
   * @param leader - Report of the instance that leads.
   * @param began - How its term began. If the position is unknown, the one of
   *   now counts, which includes the commits of earlier terms.
   */
  private async completeChange(
    leader: ReplicationReport,
    began: Pick<PrimaryRecord, 'initialPosition' | 'primaryBornAtMs'> = {},
  ): Promise<void> {
    const instances = this.context.directory.findByGroup(this.group.name);
    await this.write({
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
    if (!this.isStillCoordinator) return;
    const others = this.context.directory
      .findByGroup(this.group.name)
      .filter(({id}) => id !== leader.id);
    await this.held.sendToAll(others, {kind: CommandKind.ReleaseTerm});
  }

  /** Whether another instance may have led after the old primary. */
  private get hasFailedPromotion(): boolean {
    return this.failedPromotions > 0;
  }

  /** Writes a record of this change. */
  private write(record: PrimaryRecord): Promise<VersionedPrimaryRecord> {
    this.assertStillCoordinator();
    return writePrimaryRecord(this.context, this.group, record);
  }

  /**
   * Throws if the role was lost since the change began, even if this proxy has
   * claimed it again: the record may be another one by now.
   */
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
