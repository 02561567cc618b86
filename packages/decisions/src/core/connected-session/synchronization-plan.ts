import type {ConnectionSessionState, PreparedStatement} from './types.js';

/** Most prepared names on one connection before it is cleared. */
const MAXIMUM_PREPARED_STATEMENTS = 500;

/** What has to be sent before a session's statement may run. */
export interface SynchronizationPlan {
  /** Whether everything on the connection is cleared first. */
  readonly clear: boolean;
  /** Values to set, in order. */
  readonly values: readonly (readonly [name: string, value: string])[];
  /** Whether the statement has to be prepared. */
  readonly prepare: boolean;
}

/**
 * Compares a session with what a connection holds.
 *
 * @param contents - What the connection holds.
 * @param values - The session's values.
 * @param preparedName - Name under which the statement is prepared upstream,
 *   if it uses one.
 * @returns The least that makes the connection hold exactly the session's
 *   values, and the prepared statement.
 */
export function planSynchronization(
  contents: ConnectionSessionState,
  values: ReadonlyMap<string, string>,
  preparedName?: string,
): SynchronizationPlan {
  const hasForeign = [...contents.values.keys()].some(
    name => !values.has(name),
  );
  const isCrowded = contents.prepared.size >= MAXIMUM_PREPARED_STATEMENTS;
  const clear = hasForeign || isCrowded;
  const missing = [...values].filter(
    ([name, value]) => clear || contents.values.get(name) !== value,
  );
  const isPrepared =
    preparedName === undefined ||
    (!clear && contents.prepared.has(preparedName));
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
 * Names a prepared statement upstream.
 *
 * The name depends on the statement alone, so names of different callers
 * cannot collide and connections can be shared.
 *
 * @param statement - The statement.
 */
export function upstreamStatementName(statement: PreparedStatement): string {
  return `${statement.kind}_${statement.shape}`;
}
