/** Part of the first tries that may be tried again. */
export const RETRY_FRACTION = 0.1;

/** Most retries that may follow a time without any. */
const MAXIMUM_TOKENS = 20;

/** Keeps retries and hedges within a part of the first tries. */
export class RetryBudget {
  private tokens = 0;

  /** Takes a first try in. */
  deposit(): void {
    this.tokens = Math.min(MAXIMUM_TOKENS, this.tokens + RETRY_FRACTION);
  }

  /**
   * Asks for one retry or hedge.
   *
   * @returns Whether it may be sent.
   */
  tryWithdraw(): boolean {
    if (this.tokens < 1) return false;
    this.tokens -= 1;
    return true;
  }
}
