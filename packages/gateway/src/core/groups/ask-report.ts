import type {ReplicationReport} from '@sapphireglade/decisions';
import {SapphiregladeError} from '@sapphireglade/decisions';
import type {InstancePool, PooledConnection} from '../pool/index.js';
import {steadyNow, TIMED_OUT, within} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';

/** Goes before every caller's request. */
const CONTROL_PRIORITY = -1;

/** How long an instance may take to answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 400;

/**
 * Asks an instance for its role, term and position, over a connection of its
 * pool.
 *
 * @returns The report, or nothing if the instance does not give it in time.
 */
export async function askReport(
  pool: InstancePool,
): Promise<ReplicationReport | undefined> {
  const connection = await connectionOf(pool);
  if (connection === undefined) return undefined;
  const reply = await within(
    connection.run({kind: CommandKind.Status}),
    ANSWER_TIMEOUT_MS,
  ).catch((error: Error) => error);
  if (reply === TIMED_OUT || reply instanceof Error) {
    pool.discard(connection, 'it did not answer');
    return undefined;
  }
  pool.release(connection);
  return reply.report;
}

/** Takes a connection, if one is free or can be opened quickly. */
async function connectionOf(
  pool: InstancePool,
): Promise<PooledConnection | undefined> {
  try {
    return await pool.acquire({
      priority: CONTROL_PRIORITY,
      deadlineMs: steadyNow() + ANSWER_TIMEOUT_MS,
      values: new Map(),
    });
  } catch (error) {
    if (!(error instanceof SapphiregladeError)) throw error;
    // Whoever asks finds no report, and goes on with the other instances.
    return undefined;
  }
}
