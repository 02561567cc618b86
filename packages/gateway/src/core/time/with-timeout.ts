/** Says that nothing happened within a time limit. */
export const TIMED_OUT = Symbol('timed out');

/**
 * Waits for a promise, but not longer than a time limit.
 *
 * @param work - What is waited for; its later result is ignored.
 * @param limitMs - The time limit, in milliseconds.
 * @returns The result, or `TIMED_OUT`.
 */
export async function withTimeout<Value>(
  work: Promise<Value>,
  limitMs: number,
): Promise<Value | typeof TIMED_OUT> {
  let timer: NodeJS.Timeout | undefined;
  const limit = new Promise<typeof TIMED_OUT>(resolve => {
    timer = setTimeout(() => resolve(TIMED_OUT), Math.max(0, limitMs));
  });
  try {
    return await Promise.race([work, limit]);
  } finally {
    clearTimeout(timer);
    work.catch(() => undefined);
  }
}
