import {setTimeout as sleep} from 'node:timers/promises';

/** Time between two checks, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/**
 * Checks a condition repeatedly until it is met.
 *
 * @param what - Description of the condition, for the error message.
 * @param condition - Returns whether it is met; an error counts as not met.
 * @param timeoutMs - Longest time to wait, in milliseconds.
 * @throws Error if the timeout expires first.
 */
export async function waitUntil(
  what: string,
  condition: () => Promise<boolean> | boolean,
  timeoutMs: number,
): Promise<void> {
  const deadline = performance.now() + timeoutMs;
  while (performance.now() < deadline) {
    if (await isConditionMet(condition)) return;
    await sleep(POLL_INTERVAL_MS);
  }
  throw new Error(`${what}: not within ${timeoutMs} ms.`);
}

async function isConditionMet(
  condition: () => Promise<boolean> | boolean,
): Promise<boolean> {
  try {
    return await condition();
  } catch {
    return false;
  }
}
