import type {SessionValues} from '@sapphireglade/decisions';
import type {Statement} from './types.js';
import {StatementKind} from './types.js';

/** A statement that changes only the state of the session. */
export type SessionStateChange = Extract<
  Statement,
  {kind: 'set-value' | 'prepare' | 'deallocate'}
>;

/**
 * Applies a statement to the state of a session.
 *
 * @param values - The values and prepared statements of the session.
 * @param statement - The statement.
 * @returns Whether the state has changed; false if the session holds too much or
 *   the name is unknown.
 */
export function changeSessionState(
  values: SessionValues,
  statement: SessionStateChange,
): boolean {
  if (statement.kind === StatementKind.SetValue)
    return values.set(statement.name, statement.value);
  if (statement.kind === StatementKind.Deallocate)
    return values.deallocate(statement.name);
  const {name, preparedKind, shape} = statement;
  return values.prepare(name, {kind: preparedKind, shape});
}
