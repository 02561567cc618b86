import type {Promotion} from '../../src/index.js';
import {PromotionResult, steadyNowMs} from '../../src/index.js';
import {GroupPromotions} from './group-promotions.js';
import type {MemoryGroup} from './memory-group.js';

/** What becomes of an order. */
export interface OrderPlan {
  /** Time until the ordered instance leads, in milliseconds; Infinity if it never does. */
  readonly effectAfterMs: number;
  /** What the caller learns of the order. */
  readonly result: PromotionResult;
}

/** Executes the first orders as planned, and further ones at once. */
export class LatePromotions extends GroupPromotions {
  /** When each order was sent, in milliseconds of the steady clock. */
  readonly sentAtMs: number[] = [];

  /**
   * @param group - The group.
   * @param plans - What becomes of the first orders.
   */
  constructor(
    group: MemoryGroup,
    private readonly plans: readonly OrderPlan[],
  ) {
    super(group);
  }

  override promote(promotion: Promotion): Promise<PromotionResult> {
    const plan = this.plans[this.orders.length];
    this.sentAtMs.push(steadyNowMs());
    if (plan === undefined) return super.promote(promotion);
    this.orders.push(promotion);
    const {effectAfterMs, result} = plan;
    if (effectAfterMs === Infinity) return Promise.resolve(result);
    const {instance, fencingToken} = promotion;
    const isRunning = this.group.promote(instance, fencingToken, effectAfterMs);
    return Promise.resolve(isRunning ? result : PromotionResult.NotRunning);
  }
}
