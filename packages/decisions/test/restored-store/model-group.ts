import type {LogPosition, ReplicationReport} from '../../src/index.js';
import {DepartedInstances, PrimaryPhase} from '../../src/index.js';

/** How long an order may be under way until it takes effect, in model time. */
export const ORDER_LIFETIME = 60;

/** One instance of the model. */
export interface ModelInstance {
  readonly id: string;
  log: LogPosition[];
  isUp: boolean;
  isPrimary: boolean;
  term: number;
  heldTerm: number;
  startedAt: number;
  /** Whether it has announced that it leaves; what starts in its place does not. */
  isLeaving: boolean;
  /** Changes with each start. */
  incarnation: number;
  /** Changes with each loss of the log. */
  logNumber: number;
}

/** An order of promotion. */
export interface PromotionOrder {
  readonly target: string;
  /** Term for which it was ordered. */
  readonly term: number;
  readonly token: number;
  readonly isUnverified: boolean;
  readonly placedAt: number;
}

/**
 * The instances of a group, the orders that are under way to them, and an
 * observer that knows all logs.
 *
 * An order takes effect at any time within its lifetime, or never. It is void
 * once its target was held at a higher term than it was ordered for, or has lost
 * its log. A hold ends
 * with a restart, or when the instance follows a leader of that term. A primary
 * that was told to step down leads again after a restart, unless another
 * instance was promoted.
 */
export class ModelGroup {
  /** Acknowledged commits that a promoted instance lacked. */
  readonly lost: string[] = [];
  /** Tokens that were not above all earlier ones. */
  readonly tokensBack: string[] = [];
  readonly departed = new DepartedInstances(() => Infinity);
  readonly instances: readonly ModelInstance[];
  /** Highest term that any instance has led. */
  highestTerm = 1;
  promotions = 0;
  unverified = 0;
  private lastLeader = 'i1';
  private orders: PromotionOrder[] = [];
  private highestToken = 0;
  private starts = 0;
  private readonly acknowledged = new Map<string, LogPosition>();

  constructor(size: number) {
    this.instances = Array.from({length: size}, (_, index) => ({
      id: `i${index + 1}`,
      log: [],
      isUp: true,
      isPrimary: index === 0,
      term: 1,
      heldTerm: 0,
      startedAt: -Infinity,
      isLeaving: false,
      incarnation: 0,
      logNumber: 0,
    }));
    this.updateDepartures(1, 'i1');
  }

  find(id: string): ModelInstance {
    return this.instances.find(each => each.id === id)!;
  }

  at(index: number): ModelInstance {
    return this.instances[index % this.instances.length]!;
  }

  /** Returns the report of an instance that can be reached. */
  report({
    id,
    isPrimary,
    term,
    heldTerm,
    log,
  }: ModelInstance): ReplicationReport {
    const received = log.at(-1) ?? {term: 0, position: 0};
    return {id, isPrimary, term, received, heldTerm};
  }

  /** Stops a replica from following lower terms. */
  hold(instance: ModelInstance, term: number): void {
    if (instance.isPrimary) return;
    instance.heldTerm = Math.max(instance.heldTerm, term);
    this.orders = this.orders.filter(
      order => order.target !== instance.id || order.term >= term,
    );
  }

  /** Ends the hold of an instance, which follows the leader then. */
  release(instance: ModelInstance): void {
    instance.heldTerm = 0;
    this.follow(instance);
  }

  stepDown(instance: ModelInstance, term: number): void {
    if (instance.term < term) instance.isPrimary = false;
  }

  /**
   * Commits a write on a primary.
   *
   * @returns Whether it was acknowledged, because the replica received it.
   */
  commit(primary: ModelInstance, replica: ModelInstance): boolean {
    const number = (primary.log.at(-1)?.position ?? 0) + 1;
    const position = {term: primary.term, position: number};
    primary.log.push(position);
    const receives =
      replica.isUp &&
      !replica.isPrimary &&
      replica !== primary &&
      replica.term <= primary.term &&
      replica.heldTerm <= primary.term;
    if (!receives) return false;
    replica.term = primary.term;
    replica.heldTerm = 0;
    replica.log = [...primary.log];
    this.acknowledged.set(keyOf(position), position);
    return true;
  }

  /** Lets an instance follow the leader of a higher term, if it can. */
  follow(instance: ModelInstance): void {
    const leader = this.find(this.lastLeader);
    const canFollow =
      leader.isUp &&
      leader.isPrimary &&
      instance.isUp &&
      instance.term < leader.term &&
      instance.heldTerm <= leader.term;
    if (!canFollow) return;
    instance.isPrimary = false;
    instance.term = leader.term;
    instance.heldTerm = 0;
    const kept = new Set(leader.log.map(keyOf));
    instance.log = instance.log.filter(each => kept.has(keyOf(each)));
  }

  /** Starts an instance again. The latest leader keeps its log. */
  restart(instance: ModelInstance, keepsLog: boolean, now: number): void {
    this.starts += 1;
    const isLastLeader = instance.id === this.lastLeader;
    Object.assign(instance, {
      isUp: true,
      isPrimary: isLastLeader,
      heldTerm: 0,
      startedAt: now,
      incarnation: this.starts,
    });
    if (!isLastLeader && !keepsLog) {
      instance.isLeaving = false;
      instance.log = [];
      instance.logNumber += 1;
      instance.term = 0;
      this.orders = this.orders.filter(({target}) => target !== instance.id);
    }
  }

  /** Tells the list of departures which instances there are. */
  updateDepartures(term: number, primary: string): void {
    this.departed.update(
      {term, primary, phase: PrimaryPhase.Steady},
      this.instances.map(({id, logNumber}) => ({
        id,
        bornAtMs: logNumber,
        isLeaving: false,
        address: id,
      })),
      0,
    );
  }

  /** Accepts an order. */
  order(order: PromotionOrder): void {
    if (order.token <= this.highestToken) {
      this.tokensBack.push(`${order.token} after ${this.highestToken}`);
    }
    this.highestToken = Math.max(this.highestToken, order.token);
    if (!this.find(order.target).isPrimary) this.orders.push(order);
  }

  /** Lets one of the orders take effect. */
  promote(index: number, now: number): void {
    this.orders = this.orders.filter(
      ({placedAt}) => now - placedAt <= ORDER_LIFETIME,
    );
    const order = this.orders[index % Math.max(1, this.orders.length)];
    if (order === undefined) return;
    // Orders to the present primary change nothing.
    this.orders = this.orders.filter(each => each.target !== order.target);
    const target = this.find(order.target);
    if (!target.isUp || target.isPrimary) return;
    this.highestTerm = Math.max(order.term, this.highestTerm + 1);
    this.lastLeader = target.id;
    target.isPrimary = true;
    target.term = this.highestTerm;
    target.heldTerm = 0;
    this.observePromotion(target, order.isUnverified);
  }

  private observePromotion(target: ModelInstance, isUnverified: boolean): void {
    this.promotions += 1;
    if (isUnverified) this.unverified += 1;
    const kept = new Set(target.log.map(keyOf));
    for (const key of [...this.acknowledged.keys()]) {
      if (kept.has(key)) continue;
      this.acknowledged.delete(key);
      if (!isUnverified) this.lost.push(`${key} on ${target.id}`);
    }
  }
}

function keyOf({term, position}: LogPosition): string {
  return `${term}.${position}`;
}
