import {setTimeout as sleep} from 'node:timers/promises';
import type {RandomSource} from './random-source.js';

const MS_PER_SECOND = 1_000;

/** Parameters of an open loop. */
export interface OpenLoopOptions {
  /** Mean number of requests per second. */
  readonly ratePerSecond: number;
  /** Period in which requests are sent, in milliseconds. */
  readonly durationMs: number;
  readonly random: RandomSource;
  /** Returns whether to stop before the period ends. */
  readonly shouldStop?: () => boolean;
  /** Sends one request; must not throw. */
  readonly send: (index: number) => Promise<void>;
}

/**
 * Sends requests at random times with a given mean rate, regardless of pending
 * responses, and waits for all responses.
 *
 * @returns Number of requests sent.
 */
export async function runOpenLoop(options: OpenLoopOptions): Promise<number> {
  const {
    ratePerSecond,
    durationMs,
    random,
    send,
    shouldStop: isEnded,
  } = options;
  const startedAt = performance.now();
  const pending = new Set<Promise<void>>();
  let dueAt = startedAt;
  let sent = 0;
  for (;;) {
    dueAt += drawExponential(random) * (MS_PER_SECOND / ratePerSecond);
    if (dueAt - startedAt >= durationMs || isEnded?.() === true) break;
    const waitMs = dueAt - performance.now();
    if (waitMs >= 1) await sleep(waitMs);
    const request = send(sent).finally(() => pending.delete(request));
    pending.add(request);
    sent += 1;
  }
  await Promise.all(pending);
  return sent;
}

/** Draws from the exponential distribution with mean 1. */
function drawExponential(random: RandomSource): number {
  return -Math.log(1 - random());
}
