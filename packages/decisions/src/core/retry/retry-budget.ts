/** Maximum retries as a fraction of the first attempts. */
export const RETRY_FRACTION = 0.1;

/** Maximum number of saved retries, which can be sent in one burst. */
const MAXIMUM_TOKENS = 20;

/** Limits retries and hedges to a fraction of the first attempts. */
export class RetryBudget {
  private tokens = 0;

  /** Records a first attempt. */
  deposit(): void {
    this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + RETRY_FRACTION);
  }

  /**
   * Withdraws one retry or hedge from the budget.
   *
   * @returns Whether it may be sent; false if the budget is exhausted.
   */
  tryWithdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
