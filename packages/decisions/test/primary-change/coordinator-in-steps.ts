import type {
  LogPosition,
  PresentInstance,
  PrimaryRecord,
  ReplicationReport,
} from '../../src/index.js';
import {
  chooseTarget,
  comparePositions,
  confirmersAmong,
  DepartedInstances,
  formatPosition,
  OrderState,
  outstandingOrderState,
  PrimaryPhase,
  termFields,
} from '../../src/index.js';
import type {
  ChangeRules,
  Dice,
  RecordStore,
  StepRecord,
} from './change-rules.js';
import {
  ORDER_LIMIT_STEPS,
  ORDER_RESULT_STEPS,
  REGISTRATION_STEPS,
  VIEW_VALIDITY_STEPS,
} from './change-rules.js';
import type {InstancesInSteps} from './instances-in-steps.js';
import {KnownOrders} from './known-orders.js';
import {LeavingInSteps} from './leaving-in-steps.js';
import type {ProxiesInSteps} from './proxies-in-steps.js';
import {SurveyInSteps} from './survey-in-steps.js';

/** How long an absent instance may still return, in steps; longer than a history. */
const RETURN_WITHIN_STEPS = 1_000_000;

/** Steps of a change of primary. */
const ChangeStage = {
  /** Instances are held until no proxy can use the primary. */
  EndingViews: 'ending-views',
  /** Instances that have started are waited for until they are registered. */
  Registering: 'registering',
  /** Every listed instance is held again and reports. */
  Survey: 'survey',
  /** The result of an order is waited for. */
  Ordered: 'ordered',
} as const;

/** One of the steps of a change of primary. */
type ChangeStage = (typeof ChangeStage)[keyof typeof ChangeStage];

/** What a coordinator acts on and adheres to. */
export interface CoordinatorContext {
  readonly rules: ChangeRules;
  readonly dice: Dice;
  readonly store: RecordStore;
  readonly instances: InstancesInSteps;
  readonly proxies: ProxiesInSteps;
  /** Handles a description of a step; used to trace a history. */
  readonly onStep: (text: string) => void;
}

/** The order that a coordinator sent last. */
interface LastOrder {
  readonly target: string;
  readonly position: LogPosition;
  readonly bornAtMs: number | undefined;
  readonly isUnverified: boolean;
  readonly sentAt: number;
}

/** A coordinator of the model; it knows of the past only what the record says. */
export class CoordinatorInSteps {
  private stage: ChangeStage | undefined;
  private readonly departed = new DepartedInstances(() => RETURN_WITHIN_STEPS);
  private readonly orders: KnownOrders;
  private readonly leaving: LeavingInSteps;
  private directory: readonly PresentInstance[] = [];
  private survey: SurveyInSteps;
  private viewsEndedAt = 0;
  private revision = 0;
  private lastOrder: LastOrder | undefined;
  private now = 0;

  constructor(private readonly context: CoordinatorContext) {
    this.orders = new KnownOrders(context.rules);
    this.survey = new SurveyInSteps(context, this.departed);
    this.leaving = new LeavingInSteps(context, this.departed);
  }

  /**
   * Takes the next step.
   *
   * @param now - The step.
   * @param isSuspected - Whether the primary has to be replaced.
   * @param isListCurrent - Whether it learns of the latest entries.
   */
  step(now: number, isSuspected: boolean, isListCurrent: boolean): void {
    this.now = now;
    this.orders.read(this.record, now);
    if (isListCurrent) this.list();
    this.recordAcknowledged();
    if (this.record.phase === PrimaryPhase.Steady) {
      if (isListCurrent) this.maintainRecord();
      this.leaving.update(this.record, this.directory, now);
      if (isSuspected) this.begin();
      return;
    }
    if (this.stage === undefined) this.resume();
    switch (this.stage) {
      case ChangeStage.EndingViews:
        return this.endViews();
      case ChangeStage.Registering:
        return this.awaitRegistrations();
      case ChangeStage.Survey:
        return this.choose();
      case ChangeStage.Ordered:
        return this.observeOrder();
    }
  }

  private get record(): StepRecord {
    return this.context.store.record;
  }

  private get orderCount(): number {
    return this.record.orders ?? 0;
  }

  /** The orders that may still take effect. */
  private get mayCome(): StepRecord['mayCome'] {
    return this.orders.pending(this.now);
  }

  private list(): void {
    this.directory = this.context.instances.listed;
    this.survey.attribute(this.directory, this.now);
    this.leaving.settleHolds(this.directory, this.now);
    this.departed.update(this.record, this.directory, this.now);
  }

  private recordAcknowledged(): void {
    if (!this.context.rules.demandsAcknowledged) return;
    for (const {leastReleased} of this.context.proxies.all) {
      if (leastReleased !== undefined)
        this.departed.recordAcknowledged(leastReleased);
    }
  }

  private write(record: PrimaryRecord, mayCome = this.mayCome): void {
    const {target} = record;
    this.context.store.write(this.departed.completeRecord(record), revision =>
      target === undefined ? mayCome : [...mayCome, {target, token: revision}],
    );
    this.departed.update(this.record, this.directory, this.now);
    this.orders.read(this.record, this.now);
  }

  /** Bounds what departed instances confirmed, and records who may confirm. */
  private maintainRecord(): void {
    const {departed, record} = this;
    if (departed.unbounded.length > 0) {
      const report = this.context.instances.status(record.primary);
      if (report?.isPrimary === true && report.term === record.term)
        departed.recordBound(departed.unbounded, report.received);
    }
    if (departed.isRecordOutdated(record))
      this.write({...record, confirmers: departed.confirmersFor(record)});
  }

  private begin(): void {
    const kept = this.context.rules.countsKeptOrders ? this.mayCome.length : 0;
    this.survey = new SurveyInSteps(this.context, this.departed);
    this.announce(kept);
  }

  /** Continues the change of another coordinator. */
  private resume(): void {
    if (this.orderCount > 0) this.announce(this.orderCount);
    else this.endViewsAnew();
  }

  /** Takes the primary, and every instance that was ordered to lead, out of use. */
  private announce(orders: number): void {
    const {departed, record} = this;
    this.write({
      ...termFields(record),
      phase: PrimaryPhase.Changing,
      confirmers: departed.confirmersFor(record),
      orders,
    });
    this.trace(`announces a change after ${orders} orders`);
    this.endViewsAnew();
  }

  private endViewsAnew(): void {
    this.list();
    this.revision = this.record.revision;
    this.survey.restart(this.directory, this.now);
    this.stage = ChangeStage.EndingViews;
  }

  /** Holds the instances until no proxy can use the old primary. */
  private endViews(): void {
    if (this.adoptOrdered() || this.repeatOrder()) return;
    this.survey.hold(this.directory, this.now);
    if (this.mayCome.length > 0 && this.context.rules.holdsAfterOrders) {
      // An order that takes effect ends the holds.
      this.survey.restart(this.directory, this.now);
      return;
    }
    if (!this.haveViewsEnded()) return;
    this.trace('no proxy can use the primary any more');
    this.viewsEndedAt = this.now;
    this.survey.begin();
    this.stage = this.context.rules.settlesEachInstance
      ? ChangeStage.Survey
      : ChangeStage.Registering;
  }

  private haveViewsEnded(): boolean {
    const {proxies} = this.context;
    if (this.orderCount === 0 && proxies.haveReleased(this.revision))
      return true;
    return (
      this.survey.areAllHeld(this.directory) &&
      this.now - this.survey.lastHeldAt >= VIEW_VALIDITY_STEPS
    );
  }

  private awaitRegistrations(): void {
    const {awaitsRegistrations} = this.context.rules;
    const waitedFor = this.now - this.viewsEndedAt;
    if (awaitsRegistrations && waitedFor < REGISTRATION_STEPS) return;
    this.list();
    this.stage = ChangeStage.Survey;
  }

  /** Asks all instances again, and orders the one to lead that has every acknowledged commit. */
  private choose(): void {
    if (this.adoptOrdered()) return;
    const {rules} = this.context;
    const leader = this.survey.ask(this.directory, this.now);
    if (this.mayCome.length > 0) return;
    if (leader !== undefined) return this.complete(leader);
    if (rules.checksHolds && this.survey.hasHoldEnded)
      return this.endViewsAnew();
    if (!this.areEntriesKnown()) return;
    if (!this.survey.confirmEmptyLogs(this.directory, this.now)) return;
    const inputs = this.survey.inputs(this.directory, this.now);
    const choice = chooseTarget(inputs);
    if (choice.kind === 'wait') return;
    const {target, position, unverified} = choice;
    if (rules.confirmsTarget && !this.survey.confirm(target)) return;
    this.order(target, position, unverified !== undefined);
  }

  /** Reads the list, and returns whether it was read late enough. */
  private areEntriesKnown(): boolean {
    const {survey, viewsEndedAt, now} = this;
    const {awaitsRegistrations, listsAfterReports, settlesEachInstance} =
      this.context.rules;
    if (settlesEachInstance) {
      this.list();
      const isComplete = now - viewsEndedAt >= REGISTRATION_STEPS;
      const areSettled = survey.settle(this.directory, viewsEndedAt, now);
      return areSettled && (isComplete || !awaitsRegistrations);
    }
    const areReportsOld = now - survey.lastReportAt >= REGISTRATION_STEPS;
    if (listsAfterReports && !areReportsOld) return false;
    if (listsAfterReports) this.list();
    survey.observeRestarts(this.directory);
    return true;
  }

  private order(
    target: string,
    position: LogPosition,
    isUnverified: boolean,
  ): void {
    const {departed, record, directory, now} = this;
    const {instances} = this.context;
    this.write({
      ...termFields(record),
      phase: PrimaryPhase.Changing,
      confirmers: departed.confirmersFor(record),
      orders: this.orderCount + 1,
      target,
      lastPosition: position,
    });
    this.orders.send({target, token: this.record.revision});
    instances.order(target, now, isUnverified);
    const bornAtMs = directory.find(({id}) => id === target)?.bornAtMs;
    this.lastOrder = {target, position, bornAtMs, isUnverified, sentAt: now};
    this.stage = ChangeStage.Ordered;
    this.trace(`orders ${target} at ${formatPosition(position)}`);
  }

  private observeOrder(): void {
    const {lastOrder, now} = this;
    if (lastOrder === undefined) return;
    const {target, position, bornAtMs, sentAt} = lastOrder;
    const report = this.context.instances.status(target);
    if (report?.isPrimary === true && report.term > this.record.term) {
      this.complete(report, {
        initialPosition: position,
        primaryBornAtMs: bornAtMs,
      });
    } else if (now - sentAt >= ORDER_RESULT_STEPS) {
      this.announce(this.orderCount);
    }
  }

  /** Orders the same instance again, if it has what it had when it was ordered. */
  private repeatOrder(): boolean {
    const {lastOrder, mayCome} = this;
    const isOnlyOrdered =
      mayCome.length > 0 &&
      mayCome.every(
        order => order.target === lastOrder?.target && this.orders.isOwn(order),
      );
    if (lastOrder === undefined || !isOnlyOrdered) return false;
    const {target, position, bornAtMs, isUnverified} = lastOrder;
    const entry = this.directory.find(({id}) => id === target);
    const report = this.context.instances.status(target);
    if (report === undefined || entry?.bornAtMs !== bornAtMs) return false;
    if (report.isPrimary) return false;
    if (comparePositions(report.received, position) < 0) return false;
    if (!this.context.dice.chance(0.5)) return false;
    this.order(target, report.received, isUnverified);
    return true;
  }

  /** Completes the change if an instance leads by an order that may still come. */
  private adoptOrdered(): boolean {
    const {record, now} = this;
    const order = this.mayCome.at(-1);
    if (order === undefined) return false;
    const report = this.context.instances.status(order.target);
    const state = outstandingOrderState({
      order,
      record,
      report,
      wasHeld: this.survey.hasReported(order.target),
      knownForMs: this.orders.knownFor(order.token, now),
      limitMs: ORDER_LIMIT_STEPS,
    });
    if (report === undefined || state !== OrderState.Effective) return false;
    this.complete(report);
    return true;
  }

  /** Records the new primary. */
  private complete(
    leader: ReplicationReport,
    began: Pick<PrimaryRecord, 'initialPosition' | 'primaryBornAtMs'> = {},
  ): void {
    const {context, directory, mayCome} = this;
    // A single order has had its effect.
    const keeps =
      context.rules.keepsOrdersInSteadyRecord && this.orderCount > 1;
    this.write(
      {
        term: leader.term,
        primary: leader.id,
        phase: PrimaryPhase.Steady,
        ...began,
        initialPosition: began.initialPosition ?? leader.received,
        confirmers: {instances: confirmersAmong(directory, leader.id)},
      },
      keeps ? mayCome : [],
    );
    for (const {id} of directory) context.instances.release(id, this.now);
    this.stage = undefined;
    this.trace(`records ${leader.id} as the primary of ${leader.term}`);
  }

  private trace(text: string): void {
    this.context.onStep(`the coordinator ${text}`);
  }
}
