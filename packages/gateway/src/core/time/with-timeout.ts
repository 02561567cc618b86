/** Result of a wait that exceeded its time limit. */
export const TIMED_OUT = Symbol('timed out');

/**
 * Waits for a promise, up to a time limit.
 *
 * @param operation - The promise; its result is ignored after the time limit.
 * @param timeoutMs - The time limit, in milliseconds.
 * @returns The result, or `TIMED_OUT`.
 */
export async function withTimeout<Value>(
  operation: Promise<Value>,
  timeoutMs: number,
): Promise<Value | typeof TIMED_OUT> {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<typeof TIMED_OUT>(resolve => {
    timer = setTimeout(() => resolve(TIMED_OUT), Math.max(0, timeoutMs));
  });
  try {
    return await Promise.race([operation, timeout]);
  } finally {
    clearTimeout(timer);
    operation.catch(() => undefined);
  }
}
