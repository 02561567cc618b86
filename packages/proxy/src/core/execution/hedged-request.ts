/** How a hedged attempt is made. */
export interface HedgeOptions<Result> {
  /** How long the first attempt runs alone, in milliseconds. */
  readonly delayMs: number;
  /** Begins the second attempt, or says that there is none. */
  readonly startSecond: () => Promise<Result> | undefined;
  /** Called when an answer comes after the other attempt has won. */
  readonly onLateResult: () => void;
}

/**
 * Waits for the first success of an attempt and, if that takes long, of a
 * second one.
 *
 * @param first - The attempt that runs already.
 * @param options - How the second attempt is made.
 * @returns The first result.
 * @throws The last error, once no attempt is left.
 */
export function raceWithHedge<Result>(
  first: Promise<Result>,
  {delayMs, startSecond: second, onLateResult: onLate}: HedgeOptions<Result>,
): Promise<Result> {
  return new Promise((resolve, reject) => {
    let running = 1;
    let isDone = false;
    const succeed = (result: Result): void => {
      if (isDone) return onLate();
      isDone = true;
      clearTimeout(timer);
      resolve(result);
    };
    const fail = (error: unknown): void => {
      running -= 1;
      if (running > 0 || isDone) return;
      clearTimeout(timer);
      reject(error as Error);
    };
    const timer = setTimeout(() => {
      const attempt = second();
      if (attempt === undefined) return;
      running += 1;
      attempt.then(succeed, fail);
    }, delayMs);
    first.then(succeed, fail);
  });
}
