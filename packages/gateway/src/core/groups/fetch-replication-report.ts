import type {ReplicationReport} from '@sapphireglade/decisions';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {InstancePool, PooledConnection} from '../pool/index.js';
import {steadyNowMs, TIMED_OUT, withTimeout} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';

/** Goes before every caller's request. */
const CONTROL_PRIORITY = -1;

/** How long an instance may take to answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 400;

/** Pause after an instance was busy, in milliseconds. */
const BUSY_RETRY_DELAY_MS = 15;

/**
 * Asks an instance for its role, term and position, over a connection of its
 * pool.
 *
 * @returns The report, or nothing if the instance does not give it in time.
 */
export async function fetchReplicationReport(
  pool: InstancePool,
): Promise<ReplicationReport | undefined> {
  const limitMs = steadyNowMs() + ANSWER_TIMEOUT_MS;
  const connection = await acquireConnection(pool, limitMs);
  if (connection === undefined) return undefined;
  for (;;) {
    const reply = await withTimeout(
      connection.run({kind: CommandKind.Status}),
      limitMs - steadyNowMs(),
    ).catch((error: Error) => error);
    if (reply === TIMED_OUT || reply instanceof Error) {
      pool.discard(connection, 'it did not answer');
      return undefined;
    }
    // A busy instance did nothing; without a report a view may run out.
    const isBusy = reply.refusal?.kind === ErrorKind.Overloaded;
    if (!isBusy || steadyNowMs() + BUSY_RETRY_DELAY_MS >= limitMs) {
      pool.release(connection);
      return reply.report;
    }
    await sleep(BUSY_RETRY_DELAY_MS);
  }
}

/** Takes a connection, if one is free or can be opened quickly. */
async function acquireConnection(
  pool: InstancePool,
  limitMs: number,
): Promise<PooledConnection | undefined> {
  try {
    return await pool.acquire({
      priority: CONTROL_PRIORITY,
      deadlineMs: limitMs,
      values: new Map(),
    });
  } catch (error) {
    if (!(error instanceof SapphiregladeError)) throw error;
    // Whoever asks finds no report, and goes on with the other instances.
    return undefined;
  }
}
