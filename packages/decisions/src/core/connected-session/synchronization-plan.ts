import type {ConnectionSessionState, PreparedStatement} from './types.js';

/** Maximum prepared names on one connection; at this number it is cleared. */
const MAXIMUM_PREPARED_STATEMENTS = 500;

/** Messages to send before a statement of a session may run. */
export interface SynchronizationPlan {
  /** Whether all session state on the connection is cleared first. */
  readonly clear: boolean;
  /** Values to set, in order. */
  readonly values: readonly (readonly [name: string, value: string])[];
  /** Whether the statement has to be prepared. */
  readonly prepare: boolean;
}

/**
 * Plans how to bring a connection to the state of a session.
 *
 * @param connection - Session state of the connection.
 * @param values - The session's values.
 * @param preparedName - Name under which the statement is prepared upstream,
 *   if it uses one.
 * @returns The fewest messages after which the connection has exactly the
 *   values
 *   of the session, and the prepared statement.
 */
export function planSynchronization(
  connection: ConnectionSessionState,
  values: ReadonlyMap<string, string>,
  preparedName?: string,
): SynchronizationPlan {
  const hasForeignValues = [...connection.values.keys()].some(
    name => !values.has(name),
  );
  const isAtStatementLimit =
    connection.prepared.size >= MAXIMUM_PREPARED_STATEMENTS;
  const clear = hasForeignValues || isAtStatementLimit;
  const missing = [...values].filter(
    ([name, value]) => clear || connection.values.get(name) !== value,
  );
  const isPrepared =
    preparedName === undefined ||
    (!clear && connection.prepared.has(preparedName));
  return {clear, values: missing, prepare: !isPrepared};
}

/**
 * Counts how many messages a synchronization takes.
 *
 * @param plan - The synchronization.
 */
export function countSynchronizationMessages(
  plan: SynchronizationPlan,
): number {
  return (plan.clear ? 1 : 0) + plan.values.length + (plan.prepare ? 1 : 0);
}

/**
 * Returns the upstream name of a prepared statement.
 *
 * The name depends only on the statement, so that the names of different
 * callers cannot collide and connections can be shared.
 *
 * @param statement - The statement.
 */
export function upstreamStatementName(statement: PreparedStatement): string {
  return `${statement.kind}_${statement.shape}`;
}
