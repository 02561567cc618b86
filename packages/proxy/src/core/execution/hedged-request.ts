/** Options of a hedged request. */
export interface HedgeOptions<Result> {
  /** Time that the first attempt runs alone, in milliseconds. */
  readonly delayMs: number;
  /** Starts the second attempt; returns `undefined` if none can be made. */
  readonly startSecond: () => Promise<Result> | undefined;
  /** Called when a result arrives after the other attempt has succeeded. */
  readonly onLateResult: () => void;
}

/**
 * Returns the first successful result of an attempt and, if that attempt is
 * slow, of a second one.
 *
 * @param first - The attempt that is already running.
 * @param options - When and how the second attempt is started.
 * @returns The first result.
 * @throws The error of the last attempt to fail, if none succeeds.
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
