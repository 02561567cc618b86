/** Parameters of a closed loop. */
export interface ClosedLoopOptions {
  /** Number of requests in flight. */
  readonly concurrency: number;
  /** Period in which requests are sent, in milliseconds. */
  readonly durationMs: number;
  /** Sends one request; must not throw. */
  readonly send: (worker: number) => Promise<void>;
}

/**
 * Keeps a number of requests in flight until the period ends.
 *
 * @returns Number of answered requests.
 */
export async function runClosedLoop(
  options: ClosedLoopOptions,
): Promise<number> {
  const {concurrency, durationMs, send} = options;
  const end = performance.now() + durationMs;
  let answered = 0;
  const runSender = async (worker: number): Promise<void> => {
    while (performance.now() < end) {
      await send(worker);
      answered += 1;
    }
  };
  await Promise.all(
    Array.from({length: concurrency}, (_, worker) => runSender(worker)),
  );
  return answered;
}
