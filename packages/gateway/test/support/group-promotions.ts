import type {Promotion} from '../../src/index.js';
import {PromotionResult, PromotionService} from '../../src/index.js';
import type {MemoryGroup} from './memory-group.js';

/** Records promotions and executes them on an in-memory group. */
export class GroupPromotions extends PromotionService {
  readonly orders: Promotion[] = [];

  constructor(protected readonly group: MemoryGroup) {
    super();
  }

  /** The instances whose promotion was ordered, in order. */
  get targets(): string[] {
    return this.orders.map(({instance}) => instance);
  }

  override promote(promotion: Promotion): Promise<PromotionResult> {
    this.orders.push(promotion);
    this.onOrdered(promotion);
    const isRunning = this.group.promote(
      promotion.instance,
      promotion.fencingToken,
    );
    return Promise.resolve(
      isRunning ? PromotionResult.Accepted : PromotionResult.NotRunning,
    );
  }

  /** Called before a promotion is executed. */
  protected onOrdered(_promotion: Promotion): void {
    return undefined;
  }
}
