import type {PreparedStatement, SessionValues} from '@sapphireglade/decisions';
import type {InstanceCommand} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';
import {invalidInputError, unsendableError} from './session-errors.js';
import {toPrepareCommand} from './to-prepare-command.js';
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
 * @param canSend - Returns whether a command can be sent to an instance.
 * @throws SapphiregladeError of kind `body-too-large` if the state could never be
 *   replayed to an instance, or of kind `invalid-input` if the session or the process
 *   holds too much or the name is unknown; the state is unchanged then.
 */
export function changeSessionState(
  values: SessionValues,
  statement: SessionStateChange,
  canSend: (command: InstanceCommand) => boolean,
): void {
  if (applyChange(values, statement, canSend)) return;
  throw invalidInputError(
    'The session or the process holds too many values, or the name is unknown.',
  );
}

/** Applies a statement; returns whether the state has changed. */
function applyChange(
  values: SessionValues,
  statement: SessionStateChange,
  canSend: (command: InstanceCommand) => boolean,
): boolean {
  if (statement.kind === StatementKind.Deallocate)
    return values.deallocate(statement.name);
  if (!canSend(toReplayCommand(statement))) throw unsendableError();
  const {name} = statement;
  return statement.kind === StatementKind.SetValue
    ? values.set(name, statement.value)
    : values.prepare(name, toPrepared(statement));
}

type SetStatement = Extract<SessionStateChange, {kind: 'set-value'}>;
type PrepareStatement = Extract<SessionStateChange, {kind: 'prepare'}>;

/** Returns the command that later repeats a statement on a connection. */
function toReplayCommand(
  statement: SetStatement | PrepareStatement,
): InstanceCommand {
  if (statement.kind === StatementKind.Prepare)
    return toPrepareCommand(toPrepared(statement));
  const {name, value} = statement;
  return {kind: CommandKind.SetValue, name, value};
}

function toPrepared({
  preparedKind,
  shape,
}: PrepareStatement): PreparedStatement {
  return {kind: preparedKind, shape};
}
