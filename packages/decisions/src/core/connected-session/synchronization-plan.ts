import {createHash} from 'node:crypto';
import type {ConnectionSessionState, PreparedStatement} from './types.js';

/** Maximum prepared names on one connection; at this number it is cleared. */
const MAXIMUM_PREPARED_STATEMENTS = 500;

/** Length of an upstream statement name; 22 characters carry 128 bits. */
const STATEMENT_NAME_CHARACTERS = 22;

/** Names that were computed, while their statements are in use. */
const knownNames = new WeakMap<PreparedStatement, string>();

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
 * callers cannot collide and connections can be shared. It is a digest: a name
 * is a field inside a message, where a shape with blanks would become several
 * fields.
 *
 * @param statement - The statement.
 * @returns A name of letters, digits, `-` and `_`, always of the same length.
 */
export function upstreamStatementName(statement: PreparedStatement): string {
  const known = knownNames.get(statement);
  if (known !== undefined) return known;
  const name = createHash('sha256')
    .update(`${statement.kind} ${statement.shape}`)
    .digest('base64url')
    .slice(0, STATEMENT_NAME_CHARACTERS);
  knownNames.set(statement, name);
  return name;
}
