import type {GroupInstance, ReplicationReport} from '@sapphireglade/decisions';
import {
  formatPosition,
  PrimaryPhase,
  replicasToHold,
} from '@sapphireglade/decisions';
import type {
  InstanceDirectory,
  RegisteredInstance,
} from '../directory/index.js';
import type {DatabaseGroup} from '../groups/index.js';
import {REGISTRATION_MS} from '../primary-health/index.js';
import {steadyNowMs} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';

/**
 * Interval in which a leaving replica is held again, in milliseconds; a
 * promotion ends every hold.
 */
const HOLD_INTERVAL_MS = 500;

/** Since when the term of a group is recorded. */
interface RecordedTerm {
  readonly term: number;
  /** Time of the steady clock, in milliseconds. */
  readonly sinceMs: number;
}

/** What a leaving replica was last told. */
interface LeavingReplica {
  readonly instance: GroupInstance;
  isHeld: boolean;
  sentAtMs: number;
}

/**
 * Holds the leaving replicas of groups whose primary is in use, so that every
 * commit is confirmed by a replica that stays.
 */
export class LeavingReplicas {
  private readonly replicas = new Map<string, LeavingReplica>();
  private readonly sending = new Set<string>();
  private readonly terms = new Map<string, RecordedTerm>();
  /** When each replica was released last, in milliseconds of the steady clock. */
  private readonly releasedAtMs = new Map<string, number>();
  private roleRevision = 0;

  /** @param context - Dependencies of the coordinator. */
  constructor(private readonly context: PrimaryChangeContext) {}

  /**
   * Holds the leaving replicas of a group, or releases them if none stays.
   *
   * @param group - A group whose primary is not being replaced by this proxy.
   */
  async update(group: DatabaseGroup): Promise<void> {
    const {directory, configuration, departures, isDirectoryCurrent} =
      this.context;
    this.observeRole();
    const record = group.storedRecord?.record;
    if (record !== undefined) this.observeTerm(group.name, record.term);
    const hasConfirmers =
      configuration.current?.groups.get(group.name)
        ?.hasSynchronousReplication ?? true;
    if (record?.phase !== PrimaryPhase.Steady || !hasConfirmers) return;
    const leaving = replicasOf(directory, group.name, record.primary).filter(
      ({isLeaving}) => isLeaving,
    );
    departures
      .of(group.name)
      .holds.settle(leaving, timeMs =>
        isDirectoryCurrent(timeMs + REGISTRATION_MS),
      );
    const held = leavingReplicasToHold(directory, group.name, record.primary);
    await Promise.all(
      leaving.map(instance =>
        this.tell(group, instance, held.includes(instance)),
      ),
    );
  }

  /** Forgets every hold if the role is another one, because a coordinator in between may have ended them. */
  observeRole(): void {
    const revision = this.context.coordinatorRevision();
    if (revision === this.roleRevision) return;
    this.roleRevision = revision;
    this.replicas.clear();
    this.context.departures.forgetHolds();
  }

  private async tell(
    group: DatabaseGroup,
    instance: RegisteredInstance,
    shouldHold: boolean,
  ): Promise<void> {
    const {id} = instance;
    const known = this.find(instance);
    const isDue =
      known === undefined ||
      known.isHeld !== shouldHold ||
      (shouldHold && steadyNowMs() - known.sentAtMs >= HOLD_INTERVAL_MS);
    if (!isDue || this.sending.has(id)) return;
    this.sending.add(id);
    try {
      if (shouldHold) await this.hold(group, instance, known);
      else await this.release(group, instance);
    } finally {
      this.sending.delete(id);
    }
  }

  private async hold(
    group: DatabaseGroup,
    instance: RegisteredInstance,
    known: LeavingReplica | undefined,
  ): Promise<void> {
    const {control, departures, log, coordinatorRevision} = this.context;
    const record = group.storedRecord?.record;
    if (record === undefined) return;
    const role = coordinatorRevision();
    const isFinal = !this.mayReleaseArrive(group.name, instance.id);
    const report = await control.sendCommand(instance, {
      kind: CommandKind.HoldTerm,
      term: record.term + 1,
    });
    if (role !== coordinatorRevision()) return;
    this.remember(instance, report !== undefined);
    if (group.storedRecord?.record.term !== record.term) return;
    const departed = departures.of(group.name);
    if (report === undefined || !isHeldReplica(report, record.term)) {
      if (report !== undefined) departed.holds.forget(instance);
      return;
    }
    // After a restore, a hold for an earlier term does not stop it in the present one.
    if (departed.currentTerm === record.term)
      departed.holds.record(
        instance,
        report.received,
        isFinal ? steadyNowMs() : undefined,
      );
    if (known?.isHeld === true) return;
    log.info('A leaving replica was held; it confirms no more commits.', {
      group: group.name,
      instance: instance.id,
      term: record.term,
      position: formatPosition(report.received),
    });
  }

  private async release(
    group: DatabaseGroup,
    instance: RegisteredInstance,
  ): Promise<void> {
    const {control, departures, log} = this.context;
    departures.of(group.name).holds.forget(instance);
    this.releasedAtMs.set(instance.id, steadyNowMs());
    const report = await control.sendCommand(instance, {
      kind: CommandKind.ReleaseTerm,
    });
    if (report === undefined) return;
    this.remember(instance, false);
    log.info('A leaving replica was released, because no other one stays.', {
      group: group.name,
      instance: instance.id,
    });
  }

  private observeTerm(group: string, term: number): void {
    if (this.terms.get(group)?.term === term) return;
    this.terms.set(group, {term, sinceMs: steadyNowMs()});
  }

  /**
   * Returns whether a release may still arrive at a replica and end its hold. A
   * release names no term; an earlier coordinator sends it, or the change that began
   * the term, and it may be as late as an order.
   */
  private mayReleaseArrive(group: string, id: string): boolean {
    const {coordinatorForMs, outstandingOrders} = this.context;
    const nowMs = steadyNowMs();
    const ages = [
      coordinatorForMs() ?? 0,
      nowMs - (this.terms.get(group)?.sinceMs ?? nowMs),
      nowMs - (this.releasedAtMs.get(id) ?? -Infinity),
    ];
    return Math.min(...ages) < outstandingOrders.limitMs;
  }

  private find({id, bornAtMs}: GroupInstance): LeavingReplica | undefined {
    const known = this.replicas.get(id);
    return known?.instance.bornAtMs === bornAtMs ? known : undefined;
  }

  private remember({id, bornAtMs}: GroupInstance, isHeld: boolean): void {
    const instance = {id, bornAtMs};
    this.replicas.set(id, {instance, isHeld, sentAtMs: steadyNowMs()});
  }
}

/**
 * Returns the leaving replicas of a group that must not confirm commits.
 *
 * @param directory - The instances.
 * @param group - Name of the group.
 * @param primary - Identifier of its primary.
 */
export function leavingReplicasToHold(
  directory: InstanceDirectory,
  group: string,
  primary: string,
): RegisteredInstance[] {
  const replicas = replicasOf(directory, group, primary);
  const held = replicasToHold(
    replicas.map(({id, isLeaving}) => ({
      id,
      isLeaving,
      isRegistered: directory.isRegistered(id),
    })),
  );
  return replicas.filter(({id}) => held.includes(id));
}

function replicasOf(
  directory: InstanceDirectory,
  group: string,
  primary: string,
): RegisteredInstance[] {
  return directory.findByGroup(group).filter(({id}) => id !== primary);
}

/** Returns whether an instance is held as a replica that has received nothing of a later term. */
function isHeldReplica(
  {isPrimary, term, heldTerm}: ReplicationReport,
  recordedTerm: number,
): boolean {
  return !isPrimary && term <= recordedTerm && heldTerm > recordedTerm;
}
