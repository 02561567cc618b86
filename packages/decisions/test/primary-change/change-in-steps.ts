import type {LogPosition} from '../../src/index.js';
import {
  comparePositions,
  formatPosition,
  PrimaryPhase,
} from '../../src/index.js';
import type {ChangeRules} from './change-rules.js';
import {DESIGN_RULES, Dice, keyOf, RecordStore} from './change-rules.js';
import {CoordinatorInSteps} from './coordinator-in-steps.js';
import type {StepInstance} from './instances-in-steps.js';
import {hasEntry, InstancesInSteps} from './instances-in-steps.js';
import type {StepProxy} from './proxies-in-steps.js';
import {ProxiesInSteps} from './proxies-in-steps.js';

/** Most instances of a group. */
const MAXIMUM_INSTANCES = 6;

/** Steps within which a change has to end once everything works. */
const SETTLE_STEPS = 200;

/** Probability of what goes on in each step, for each proxy and instance. */
const ACTIVITY = {
  refresh: 0.5,
  verify: 0.5,
  connect: 0.2,
  replicate: 0.3,
} as const;

/** What happens between two steps of a coordinator, and how often. */
export type StepEvents = Readonly<Partial<Record<StepEvent, number>>>;

/** One of the events. */
export type StepEvent =
  | 'write'
  | 'wait'
  | 'suspect'
  | 'cutPrimary'
  | 'cutStore'
  | 'healStore'
  | 'cutProxy'
  | 'healProxy'
  | 'add'
  | 'addUnlisted'
  | 'restart'
  | 'restartEmpty'
  | 'crash'
  | 'start'
  | 'lapse'
  | 'comeBack'
  | 'lose'
  | 'cutCoordinator'
  | 'healCoordinator'
  | 'deafen'
  | 'hear'
  | 'replaceCoordinator'
  | LeavingEvent;

/** One of the events about replicas that leave, or that stay when others do. */
export type LeavingEvent =
  'announce' | 'leave' | 'cutLeaving' | 'deafenStaying' | 'lapseStaying';

/**
 * A group whose primary is replaced in separate steps, between which instances
 * join, restart, are cut off and return, orders take effect, and proxies write,
 * with an observer that knows all logs.
 */
export class ChangeInSteps {
  /** Acknowledged commits that a promoted instance lacks although another one has them. */
  readonly lost: string[] = [];
  /** The same where the choice was reported as unverified. */
  readonly lostUnverified: string[] = [];
  /** Acknowledged commits that had not reached what a proxy took for certain. */
  readonly overstated: string[] = [];
  /** Commits that were acknowledged. */
  acknowledgedCommits = 0;
  /** Changes of primary that were completed. */
  changes = 0;
  readonly instances: InstancesInSteps;
  readonly proxies: ProxiesInSteps;
  private readonly dice: Dice;
  private readonly store = new RecordStore();
  private readonly acknowledged = new Map<string, LogPosition>();
  private coordinator: CoordinatorInSteps;
  private isSuspected = false;
  private now = 0;

  /**
   * @param seed - Decides what the events leave open.
   * @param rules - What the proxies and the coordinator adhere to.
   * @param onStep - Handles a description of each step.
   */
  constructor(
    seed: number,
    private readonly rules: ChangeRules = DESIGN_RULES,
    private readonly onStep?: (text: string) => void,
  ) {
    this.dice = new Dice(seed);
    this.instances = new InstancesInSteps(this.dice, (leader, isUnverified) =>
      this.observePromotion(leader, isUnverified),
    );
    this.proxies = new ProxiesInSteps(
      rules,
      this.dice,
      this.store,
      this.instances,
      (position, least) => this.observeAcknowledgement(position, least),
      text => this.trace(text),
    );
    this.coordinator = this.createCoordinator();
  }

  /** Whether a change of primary is under way. */
  get isChanging(): boolean {
    return this.store.record.phase === PrimaryPhase.Changing;
  }

  /**
   * Lets an event happen, and then the next step of everything else.
   *
   * @param event - The event.
   * @param isCoordinatorActive - Whether the coordinator takes a step.
   * @param isListCurrent - Whether the coordinator learns of the latest entries.
   */
  step(
    event: StepEvent,
    isCoordinatorActive: boolean,
    isListCurrent: boolean,
  ): void {
    this.now += 1;
    this.apply(event);
    this.goOn();
    this.instances.register(this.now);
    this.instances.promote(this.now);
    this.instances.deliverReleases(this.now);
    this.proxies.deliver(this.now);
    if (isCoordinatorActive) this.coordinate(isListCurrent);
  }

  /**
   * Lets every instance return and register, and everything reach everything.
   *
   * @returns Whether a change that is under way ends then.
   */
  settle(): boolean {
    for (const instance of this.instances.all) {
      instance.isDeaf = false;
      instance.isCutFromCoordinator = false;
      if (instance.isAbsent) this.instances.comeBack(instance, this.now, true);
      if (!instance.isUp) this.instances.restart(instance, this.now, true);
    }
    for (const proxy of this.proxies.all) {
      proxy.hasStore = true;
      proxy.cutFrom.clear();
    }
    this.isSuspected = false;
    for (let step = 0; step < SETTLE_STEPS && this.isChanging; step += 1) {
      this.step('wait', true, true);
    }
    return !this.isChanging;
  }

  /** Lets proxies and instances do what they always do. */
  private goOn(): void {
    const {dice, proxies, instances, now} = this;
    for (const proxy of proxies.all) {
      if (dice.chance(ACTIVITY.refresh)) proxies.refresh(proxy, now);
      if (dice.chance(ACTIVITY.verify)) proxies.verify(proxy, now);
      if (dice.chance(ACTIVITY.connect)) proxies.connect(proxy, now);
    }
    for (const instance of instances.all) {
      if (dice.chance(ACTIVITY.replicate)) instances.replicate(instance);
    }
  }

  private coordinate(isListCurrent: boolean): void {
    const wasChanging = this.isChanging;
    this.coordinator.step(this.now, this.isSuspected, isListCurrent);
    if (!this.isChanging && wasChanging) this.changes += 1;
    if (this.isChanging) this.isSuspected = false;
  }

  private createCoordinator(): CoordinatorInSteps {
    const {rules, dice, store, instances, proxies} = this;
    const onStep = (text: string): void => this.trace(text);
    return new CoordinatorInSteps({
      rules,
      dice,
      store,
      instances,
      proxies,
      onStep,
    });
  }

  private apply(event: StepEvent): void {
    const {dice, instances, proxies, now} = this;
    const instance = dice.pick(instances.all);
    const proxy = dice.pick(proxies.all);
    if (instance === undefined || proxy === undefined) return;
    if (this.onStep !== undefined && event !== 'wait')
      this.trace(`${event}: ${instance.id} or p${proxies.all.indexOf(proxy)}`);
    switch (event) {
      case 'suspect':
        this.isSuspected = true;
        return;
      case 'replaceCoordinator':
        this.coordinator = this.createCoordinator();
        return;
      case 'add':
        if (instances.all.length < MAXIMUM_INSTANCES) instances.add(now);
        return;
      case 'addUnlisted':
        if (instances.all.length < MAXIMUM_INSTANCES)
          instances.add(now, Infinity);
        return;
      case 'cutCoordinator':
        instance.isCutFromCoordinator = true;
        return;
      case 'cutPrimary':
        this.cutPrimary();
        return;
      case 'healCoordinator':
        for (const each of instances.all) each.isCutFromCoordinator = false;
        return;
      case 'deafen':
        instance.isDeaf = true;
        return;
      case 'hear':
        for (const each of instances.all) each.isDeaf = false;
        return;
      case 'announce':
      case 'leave':
      case 'cutLeaving':
      case 'deafenStaying':
      case 'lapseStaying':
        this.applyToLeaving(event);
        return;
      case 'wait':
        return;
      default:
        this.applyToProxy(event, proxy, instance);
        this.applyToInstance(event, instance);
    }
  }

  /** Cuts the primary from the coordinator, which replaces it then. */
  private cutPrimary(): void {
    const primary = this.instances.find(this.store.record.primary);
    if (primary === undefined) return;
    primary.isCutFromCoordinator = true;
    this.isSuspected = true;
  }

  private applyToProxy(
    event: StepEvent,
    proxy: StepProxy,
    instance: StepInstance,
  ): void {
    const {proxies, now} = this;
    switch (event) {
      case 'write':
        proxies.write(proxy, now);
        return;
      case 'cutStore':
        proxy.hasStore = false;
        return;
      case 'healStore':
        proxy.hasStore = true;
        return;
      case 'cutProxy':
        proxy.cutFrom.add(instance.id);
        return;
      case 'healProxy':
        proxy.cutFrom.clear();
        return;
      default:
        return;
    }
  }

  /** Lets something happen to a replica that leaves, or to one that stays. */
  private applyToLeaving(event: LeavingEvent): void {
    const {dice, instances} = this;
    const isLeaving = event === 'leave' || event === 'cutLeaving';
    const replica = dice.pick(
      instances.all.filter(
        each =>
          !each.isPrimary &&
          each.isLeaving === isLeaving &&
          this.isRecorded(each),
      ),
    );
    if (replica === undefined) return;
    this.trace(`${event}: ${replica.id}`);
    switch (event) {
      case 'announce':
        return instances.announce(replica);
      case 'leave':
        return instances.lose(replica);
      case 'cutLeaving':
        replica.isCutFromCoordinator = true;
        return;
      case 'deafenStaying':
        replica.isDeaf = true;
        return;
      case 'lapseStaying':
        return instances.lapse(replica);
    }
  }

  private applyToInstance(event: StepEvent, instance: StepInstance): void {
    const {instances, now} = this;
    const {isUp, isAbsent} = instance;
    switch (event) {
      case 'restart':
        if (isUp) instances.restart(instance, now, true);
        return;
      case 'restartEmpty':
        if (isUp && this.isRecorded(instance))
          instances.restart(instance, now, false);
        return;
      case 'crash':
        if (this.isRecorded(instance)) instance.isUp = false;
        return;
      case 'start':
        if (!isUp && !isAbsent)
          instances.restart(instance, now, this.dice.chance(0.7));
        return;
      case 'lapse':
        if (this.isRecorded(instance)) instances.lapse(instance);
        return;
      case 'comeBack':
        if (isAbsent) instances.comeBack(instance, now, this.dice.chance(0.7));
        return;
      case 'lose':
        if (this.isRecorded(instance) && instances.all.length > 3)
          instances.lose(instance);
        return;
      default:
        return;
    }
  }

  /**
   * Returns whether the record names an incarnation; it is known not to cover
   * instances that join, confirm and go before they are recorded.
   */
  private isRecorded(instance: StepInstance): boolean {
    const {primary, confirmers} = this.store.record;
    const {id, bornAtMs} = instance;
    const isNamed = confirmers?.instances.some(
      each => each.id === id && each.bornAtMs === bornAtMs,
    );
    return (
      this.instances.isListed(instance) && (id === primary || isNamed === true)
    );
  }

  private observeAcknowledgement(
    position: LogPosition,
    least: LogPosition | undefined,
  ): void {
    this.acknowledgedCommits += 1;
    if (least !== undefined && comparePositions(least, position) > 0)
      this.overstated.push(keyOf(position));
    this.acknowledged.set(keyOf(position), position);
    this.trace(`${formatPosition(position)} is acknowledged`);
    const leader = this.instances.newestLeader;
    // A promotion may have preceded the acknowledgement.
    if (leader !== undefined && leader.term > position.term)
      this.observeLosses(leader, false);
  }

  private observePromotion(leader: StepInstance, isUnverified: boolean): void {
    this.trace(`${leader.id} leads ${leader.term} with ${leader.log.length}`);
    this.observeLosses(leader, isUnverified);
  }

  private observeLosses(leader: StepInstance, isUnverified: boolean): void {
    for (const [key, position] of this.acknowledged) {
      if (hasEntry(leader, position)) continue;
      this.acknowledged.delete(key);
      const isElsewhere = this.instances.all.some(each =>
        hasEntry(each, position),
      );
      if (!isElsewhere) continue;
      const lost = isUnverified ? this.lostUnverified : this.lost;
      lost.push(key);
      this.trace(`${key} is lost`);
    }
  }

  private trace(text: string): void {
    this.onStep?.(`${this.now}: ${text}`);
  }
}
