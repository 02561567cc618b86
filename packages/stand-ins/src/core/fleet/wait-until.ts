import {setTimeout as sleep} from 'node:timers/promises';

/** Time between two tries, in milliseconds. */
const POLL_INTERVAL_MS = 20;

/**
 * Tries something again and again until it holds.
 *
 * @param what - What is waited for, for the error.
 * @param condition - Says whether it holds; an error counts as no.
 * @param timeoutMs - How long to try, in milliseconds.
 * @throws Error if the time passed first.
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
