import type {OutstandingOrder} from '../../src/index.js';
import type {ChangeRules, StepRecord} from './change-rules.js';
import {ORDER_LIMIT_STEPS} from './change-rules.js';

/** Orders that a coordinator of the model has sent, or seen in records. */
export class KnownOrders {
  private readonly seenAt = new Map<number, number>();
  private readonly own = new Set<number>();
  private mayCome: readonly OutstandingOrder[] = [];

  constructor(private readonly rules: ChangeRules) {}

  /** Takes in a record. */
  read({mayCome}: StepRecord, now: number): void {
    this.mayCome = mayCome;
    for (const {token} of mayCome) {
      if (!this.seenAt.has(token)) this.seenAt.set(token, now);
    }
  }

  /** Handles an order that the coordinator sends. */
  send({token}: OutstandingOrder): void {
    this.own.add(token);
  }

  /** Returns the orders that may still take effect. */
  pending(now: number): OutstandingOrder[] {
    return this.mayCome.filter(
      ({token}) =>
        (this.rules.awaitsOwnOrders || !this.own.has(token)) &&
        this.knownFor(token, now) < ORDER_LIMIT_STEPS,
    );
  }

  /** Returns for how many steps an order has been known. */
  knownFor(token: number, now: number): number {
    return now - (this.seenAt.get(token) ?? now);
  }

  /** Whether the coordinator sent an order itself. */
  isOwn({token}: OutstandingOrder): boolean {
    return this.own.has(token);
  }
}
