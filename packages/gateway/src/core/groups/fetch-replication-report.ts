import type {ReplicationReport} from '@sapphireglade/decisions';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {InstancePool, PooledConnection} from '../pool/index.js';
import {steadyNowMs, TIMED_OUT, withTimeout} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';

/** Priority over the requests of callers. */
const CONTROL_PRIORITY = -1;

/** Maximum time to wait for the report, in milliseconds. */
const ANSWER_TIMEOUT_MS = 400;

/** Delay before an overloaded instance is queried again, in milliseconds. */
const BUSY_RETRY_DELAY_MS = 15;

/** A report, and since when its instance is known to have run. */
export interface StandingReport {
  readonly report: ReplicationReport;
  /**
   * Since when the instance is known to have run without a restart, in
   * milliseconds of the steady clock.
   */
  readonly standingSinceMs: number;
}

/**
 * Fetches the role, term and position of an instance over a connection of its
 * pool.
 *
 * @returns The report, or undefined if the instance does not return it in time.
 */
export async function fetchReplicationReport(
  pool: InstancePool,
): Promise<ReplicationReport | undefined> {
  return (await fetchStandingReport(pool))?.report;
}

/** Fetches a report as {@link fetchReplicationReport} does, with the time for which the instance has run. */
export async function fetchStandingReport(
  pool: InstancePool,
): Promise<StandingReport | undefined> {
  const deadlineMs = steadyNowMs() + ANSWER_TIMEOUT_MS;
  const connection = await acquireConnection(pool, deadlineMs);
  if (connection === undefined) return undefined;
  for (;;) {
    const reply = await withTimeout(
      connection.run({kind: CommandKind.Status}),
      deadlineMs - steadyNowMs(),
    ).catch((error: Error) => error);
    if (reply === TIMED_OUT || reply instanceof Error) {
      pool.discard(connection, 'the instance did not respond');
      return undefined;
    }
    // An overloaded instance has executed nothing. Without a report a view may
    // expire, so the request is retried.
    const isBusy = reply.refusal?.kind === ErrorKind.Overloaded;
    if (!isBusy || steadyNowMs() + BUSY_RETRY_DELAY_MS >= deadlineMs) {
      const standingSinceMs = pool.standingSinceMs(connection) ?? Infinity;
      pool.release(connection);
      return reply.report && {report: reply.report, standingSinceMs};
    }
    await sleep(BUSY_RETRY_DELAY_MS);
  }
}

/**
 * Acquires a connection, if one is idle or can be opened before the deadline.
 */
async function acquireConnection(
  pool: InstancePool,
  deadlineMs: number,
): Promise<PooledConnection | undefined> {
  try {
    return await pool.acquire({
      priority: CONTROL_PRIORITY,
      deadlineMs,
      values: new Map(),
    });
  } catch (error) {
    if (!(error instanceof SapphiregladeError)) throw error;
    // Without a report, the caller of this function continues with the other
    // instances.
    return undefined;
  }
}
