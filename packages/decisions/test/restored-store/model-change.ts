import type {
  LogPosition,
  PrimaryRecord,
  ReplicationReport,
  TargetChoice,
} from '../../src/index.js';
import {chooseTarget, HeldReports, higherPosition} from '../../src/index.js';
import type {ModelGroup, ModelInstance} from './model-group.js';

/** How long a view of the primary is valid, in model time. */
export const VIEW_VALIDITY = 10;

/** Steps of a change of primary. */
export type ChangeStep = 'announce' | 'hold' | 'order' | 'await';

/** A choice that names a target. */
export type Promotion = Extract<TargetChoice, {kind: 'promote'}>;

/** One change of primary: what was held, and what was reported. */
export class ModelChange {
  step: ChangeStep = 'announce';
  orders: number;
  chosen: Promotion | undefined;
  announcedAt = 0;
  orderedAt = 0;
  private readonly replicaReports = new HeldReports();
  private readonly oldReport = new HeldReports();
  private readonly reportedLogs = new Set<string>();
  private heldAt = 0;

  constructor(
    private readonly group: ModelGroup,
    readonly base: PrimaryRecord,
  ) {
    this.orders = base.orders ?? 0;
  }

  /** The term of the next order; no earlier order can have begun it. */
  get nextTerm(): number {
    return this.base.term + 1 + this.orders;
  }

  /** Position that each target has to have reached. */
  get initialPosition(): LogPosition | undefined {
    return this.base.initialPosition;
  }

  /** Holds the instances that can be reached, as far as they are not held yet. */
  hold(reachable: readonly ModelInstance[], now: number): void {
    for (const instance of this.replicas) {
      if (!reachable.includes(instance)) continue;
      if (this.replicaReports.isHeld(instance.id, instance.incarnation))
        continue;
      if (this.orders > 0) this.group.stepDown(instance, this.nextTerm);
      this.group.hold(instance, this.nextTerm);
      this.record(this.replicaReports, instance, now);
    }
    const old = this.group.find(this.base.primary);
    const isPending =
      this.orders === 0 && !this.oldReport.isHeld(old.id, old.incarnation);
    if (!isPending || !reachable.includes(old)) return;
    this.group.stepDown(old, this.nextTerm);
    this.record(this.oldReport, old, now);
  }

  /** Returns the target, if there is one and nobody can use the old primary any more. */
  choose(now: number): Promotion | undefined {
    const endOfViews = Math.max(this.heldAt, this.announcedAt) + VIEW_VALIDITY;
    if (now <= endOfViews || !this.isIntact) return undefined;
    const choice = chooseTarget(this.inputs());
    return choice.kind === 'promote' ? choice : undefined;
  }

  /** Whether the target can still be ordered to lead with the log that it reported. */
  get isTargetReady(): boolean {
    const target = this.group.find(this.chosen!.target);
    const reports =
      this.orders === 0 && target.id === this.base.primary
        ? this.oldReport
        : this.replicaReports;
    return target.isUp && !hasRestarted(reports, target);
  }

  /** Begins again after an order whose end was not seen. */
  restart(): void {
    this.orders += 1;
    this.replicaReports.clear();
    this.oldReport.clear();
    this.step = 'announce';
  }

  private get replicas(): readonly ModelInstance[] {
    const {instances} = this.group;
    if (this.orders > 0) return instances;
    return instances.filter(({id}) => id !== this.base.primary);
  }

  private get isIntact(): boolean {
    const old = this.group.find(this.base.primary);
    return (
      this.replicas.every(each => !hasRestarted(this.replicaReports, each)) &&
      !hasRestarted(this.oldReport, old)
    );
  }

  private record(
    reports: HeldReports,
    instance: ModelInstance,
    now: number,
  ): void {
    reports.record(this.group.report(instance), instance.incarnation);
    this.reportedLogs.add(`${instance.id}/${instance.logNumber}`);
    this.heldAt = now;
  }

  private inputs(): Parameters<typeof chooseTarget>[0] {
    const {departed} = this.group;
    const candidate = (
      id: string,
      report: ReplicationReport | undefined,
    ): {
      id: string;
      isLeaving: boolean;
      report: ReplicationReport | undefined;
    } => ({
      id,
      isLeaving: this.group.find(id).isLeaving,
      report,
    });
    const {primary} = this.base;
    return {
      replicas: this.replicas.map(({id}) =>
        candidate(id, this.replicaReports.find(id)),
      ),
      oldPrimary: candidate(primary, this.oldReport.find(primary)),
      mayOldPrimaryReport: true,
      hasSynchronousReplication: true,
      wasPromotionOrdered: this.orders > 0,
      minimumPosition: [
        departed.bound,
        this.replicaReports.highestPosition,
      ].reduce(higherPosition, this.initialPosition),
      unverifiedDepartures: departed.unbounded
        .filter(({id, bornAtMs}) => !this.reportedLogs.has(`${id}/${bornAtMs}`))
        .map(({id}) => id),
      mayReturn: departed.mayReturn(0),
    };
  }
}

function hasRestarted(
  reports: HeldReports,
  {id, incarnation}: ModelInstance,
): boolean {
  return reports.find(id) !== undefined && !reports.isHeld(id, incarnation);
}
