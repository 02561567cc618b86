import type {
  LogPosition,
  PresentInstance,
  ReplicationReport,
} from '../../src/index.js';
import type {Dice} from './change-rules.js';
import {
  ORDER_LIMIT_STEPS,
  REGISTRATION_STEPS,
  RELEASE_LIMIT_STEPS,
} from './change-rules.js';

/** Probability that a replica receives only a part of what it lacks in a step. */
const PARTIAL_PROBABILITY = 0.2;

/** One instance of the model. */
export interface StepInstance {
  readonly id: string;
  /** Identifies the incarnation. */
  bornAtMs: number;
  log: LogPosition[];
  isUp: boolean;
  isPrimary: boolean;
  /** Newest term that it leads or has followed. */
  term: number;
  /** Term for which it is held; 0 if it is not. */
  heldTerm: number;
  /** Whether it neither sends to other instances nor receives from them. */
  isDeaf: boolean;
  /** Whether no coordinator reaches it. */
  isCutFromCoordinator: boolean;
  /** When its entry appears; undefined if it is there. */
  registersAt: number | undefined;
  /** Whether its entry has lapsed while it was dark; it returns. */
  isAbsent: boolean;
  /** Whether it has announced that it leaves. */
  isLeaving: boolean;
}

/** An order to promote that has not had its effect. */
interface SentOrder {
  readonly target: string;
  /** Log-losing starts of the target when it was sent. */
  readonly losses: number;
  readonly effectAt: number;
  readonly isUnverified: boolean;
}

/** The instances of one group, their entries in the store, and the platform that promotes them. */
export class InstancesInSteps {
  readonly all: StepInstance[] = [];
  /** Instances that were lost with their logs. */
  lostForGood = 0;
  /** Promotions that took effect. */
  promotions = 0;
  private readonly entries = new Map<string, PresentInstance>();
  private readonly losses = new Map<string, number>();
  private orders: SentOrder[] = [];
  private releases: {readonly id: string; readonly arrivesAt: number}[] = [];
  /** Decides how much a replica receives. */
  private readonly receiptDice: Dice;
  private newestTerm = 1;
  private leaderId = 'i1';
  private created = 0;

  /**
   * @param dice - Decides what is left open.
   * @param onPromoted - Handles an instance that begins to lead.
   */
  constructor(
    private readonly dice: Dice,
    private readonly onPromoted: (
      leader: StepInstance,
      isUnverified: boolean,
    ) => void,
  ) {
    this.receiptDice = dice.fork();
    for (let index = 0; index < 3; index += 1) this.add(0, 0);
    const [first] = this.all;
    if (first !== undefined) first.isPrimary = true;
    this.register(0);
  }

  /** The instance that was promoted last, unless it is lost. */
  get newestLeader(): StepInstance | undefined {
    return this.find(this.leaderId);
  }

  /** The entries in the store. */
  get listed(): PresentInstance[] {
    return [...this.entries.values()];
  }

  find(id: string): StepInstance | undefined {
    return this.all.find(each => each.id === id);
  }

  /** Returns whether the present incarnation of an instance is listed. */
  isListed({id, bornAtMs}: StepInstance): boolean {
    return this.entries.get(id)?.bornAtMs === bornAtMs;
  }

  /** Adds an empty replica, whose entry appears after some steps. */
  add(now: number, delay = this.dice.below(REGISTRATION_STEPS + 1)): void {
    this.created += 1;
    this.all.push({
      id: `i${this.created}`,
      bornAtMs: this.created,
      log: [],
      isUp: true,
      isPrimary: false,
      term: 1,
      heldTerm: 0,
      isDeaf: false,
      isCutFromCoordinator: false,
      registersAt: now + delay,
      isAbsent: false,
      isLeaving: false,
    });
  }

  /** Starts an instance again; its hold is gone, its entry late. A leader keeps its log. */
  restart(instance: StepInstance, now: number, keepsLog: boolean): void {
    const isLeader = this.leaderId === instance.id;
    this.created += 1;
    instance.bornAtMs = this.created;
    instance.isUp = true;
    instance.heldTerm = 0;
    instance.isLeaving = false;
    instance.isPrimary = isLeader;
    instance.registersAt = now + this.dice.below(REGISTRATION_STEPS + 1);
    if (!keepsLog && !isLeader) this.loseLog(instance);
  }

  /** Makes an instance dark until its entry has lapsed. */
  lapse(instance: StepInstance): void {
    instance.isUp = false;
    instance.isAbsent = true;
    this.entries.delete(instance.id);
  }

  /** Lets an instance return whose entry has lapsed. A replica may have lost its log. */
  comeBack(instance: StepInstance, now: number, keepsLog: boolean): void {
    instance.isAbsent = false;
    if (keepsLog && this.dice.chance(0.5)) {
      // It was only cut off.
      instance.isUp = true;
      instance.registersAt = now + this.dice.below(REGISTRATION_STEPS + 1);
    } else {
      this.restart(instance, now, keepsLog);
    }
  }

  /** Lets an instance announce that it leaves; its entry says so at once. */
  announce(instance: StepInstance): void {
    instance.isLeaving = true;
    const entry = this.entries.get(instance.id);
    if (entry !== undefined && this.isListed(instance))
      this.entries.set(instance.id, {...entry, isLeaving: true});
  }

  /** Removes an instance with its log for good. */
  lose(instance: StepInstance): void {
    this.all.splice(this.all.indexOf(instance), 1);
    this.entries.delete(instance.id);
    this.lostForGood += 1;
  }

  /** Writes the entries that are due. */
  register(now: number): void {
    for (const instance of this.all) {
      const {id, bornAtMs, isUp, isLeaving} = instance;
      const {registersAt = Infinity} = instance;
      if (!isUp || registersAt > now) continue;
      instance.registersAt = undefined;
      this.entries.set(id, {id, bornAtMs, isLeaving, address: id});
    }
  }

  /** Lets an instance receive what its leader has, or learn that another one leads. */
  replicate(instance: StepInstance): void {
    if (!instance.isUp || instance.isDeaf || instance.heldTerm > 0) return;
    const leader = this.leaderOf(instance);
    if (leader === undefined) return;
    instance.isPrimary = false;
    instance.term = leader.term;
    const {log} = leader;
    const {receiptDice} = this;
    const differsAt = instance.log.findIndex(each => !hasEntry(leader, each));
    const common = differsAt < 0 ? instance.log.length : differsAt;
    const further = receiptDice.chance(PARTIAL_PROBABILITY)
      ? receiptDice.below(log.length - common + 1)
      : log.length - common;
    instance.log = log.slice(0, common + further);
  }

  /** Returns whether a replica has received an entry in the term of the leader. */
  isConfirmed(leader: StepInstance, position: LogPosition): boolean {
    return this.all.some(
      each =>
        each.isUp &&
        !each.isPrimary &&
        each.term === leader.term &&
        hasEntry(each, position),
    );
  }

  /** Appends an entry to the log of a leader. */
  append(leader: StepInstance): LogPosition {
    const position = {term: leader.term, position: leader.log.length + 1};
    leader.log.push(position);
    return position;
  }

  /** Returns the report of an instance, if the coordinator reaches it. */
  status(id: string): ReplicationReport | undefined {
    const instance = this.find(id);
    const isReached = instance?.isUp === true && !instance.isCutFromCoordinator;
    return isReached ? reportOf(instance) : undefined;
  }

  /** Holds a replica for a term. */
  hold(id: string, term: number): ReplicationReport | undefined {
    if (this.status(id) === undefined) return undefined;
    const instance = this.find(id);
    if (instance?.isPrimary === false && term > instance.term)
      instance.heldTerm = Math.max(instance.heldTerm, term);
    return this.status(id);
  }

  /** Makes a primary of a lower term a replica. */
  stepDown(id: string, term: number): ReplicationReport | undefined {
    if (this.status(id) === undefined) return undefined;
    const instance = this.find(id);
    if (instance !== undefined && instance.term < term)
      instance.isPrimary = false;
    return this.status(id);
  }

  /** Sends a command that ends the hold of a replica; it may arrive late. */
  release(id: string, now: number): void {
    if (this.status(id) === undefined) return;
    const delay = this.dice.chance(0.5)
      ? 0
      : this.dice.below(RELEASE_LIMIT_STEPS);
    this.releases.push({id, arrivesAt: now + delay});
  }

  /** Lets the commands arrive that are due. */
  deliverReleases(now: number): void {
    for (const {id} of this.releases.filter(
      ({arrivesAt}) => arrivesAt <= now,
    )) {
      const instance = this.find(id);
      if (instance !== undefined) instance.heldTerm = 0;
    }
    this.releases = this.releases.filter(({arrivesAt}) => arrivesAt > now);
  }

  /** Sends an order to promote; it takes effect within a limit, or never. */
  order(target: string, now: number, isUnverified: boolean): void {
    const {dice} = this;
    if (dice.chance(0.2)) return;
    const delay = dice.chance(0.5)
      ? 1 + dice.below(2)
      : 1 + dice.below(ORDER_LIMIT_STEPS);
    const losses = this.losses.get(target) ?? 0;
    const effectAt = now + delay;
    this.orders.push({target, losses, effectAt, isUnverified});
  }

  /** Lets the orders take effect that are due. */
  promote(now: number): void {
    const due = this.orders.filter(({effectAt}) => effectAt <= now);
    this.orders = this.orders.filter(({effectAt}) => effectAt > now);
    for (const {target, losses, isUnverified} of due) {
      const instance = this.find(target);
      // The platform refuses an order for an instance that is not running.
      if (instance?.isUp !== true) continue;
      if (losses !== (this.losses.get(target) ?? 0)) continue;
      this.lead(instance, isUnverified);
    }
  }

  private lead(instance: StepInstance, isUnverified: boolean): void {
    const isLeading = instance.isPrimary && instance.term === this.newestTerm;
    if (isLeading && this.leaderId === instance.id) return;
    this.newestTerm += 1;
    this.leaderId = instance.id;
    instance.isPrimary = true;
    instance.term = this.newestTerm;
    for (const each of this.all) each.heldTerm = 0;
    this.promotions += 1;
    this.onPromoted(instance, isUnverified);
  }

  private loseLog(instance: StepInstance): void {
    instance.log = [];
    const {id} = instance;
    this.losses.set(id, (this.losses.get(id) ?? 0) + 1);
  }

  /** Returns the leader of the highest term that an instance can follow. */
  private leaderOf(instance: StepInstance): StepInstance | undefined {
    const minimumTerm = instance.isPrimary ? instance.term + 1 : instance.term;
    return this.all
      .filter(
        each =>
          each !== instance &&
          each.isUp &&
          each.isPrimary &&
          !each.isDeaf &&
          each.term >= minimumTerm,
      )
      .sort((left, right) => right.term - left.term)[0];
  }
}

/** Returns whether the log of an instance has an entry; logs have no gaps. */
export function hasEntry(
  {log}: StepInstance,
  {term, position}: LogPosition,
): boolean {
  return log[position - 1]?.term === term;
}

function reportOf(instance: StepInstance): ReplicationReport {
  const {id, isPrimary, term, heldTerm, log} = instance;
  const received = log.at(-1) ?? {term: 0, position: 0};
  return {id, isPrimary, term, heldTerm, received};
}
