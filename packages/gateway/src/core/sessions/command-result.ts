import type {PreparedStatement, SessionValues} from '@sapphireglade/decisions';
import {
  planSynchronization,
  upstreamStatementName,
} from '@sapphireglade/decisions';
import type {PooledConnection} from '../pool/index.js';
import {steadyNowMs, TIMED_OUT, withTimeout} from '../time/index.js';
import type {InstanceCommand, InstanceReply} from '../upstream/index.js';
import {CommandKind, ConnectionLostError} from '../upstream/index.js';

/** A command that was not answered. */
export type UnansweredCommand =
  /** The connection ended; the command may have run only if it was sent. */
  | {readonly kind: 'lost'; readonly wasSent: boolean; readonly reason: string}
  /** No answer came in time; the command may run. */
  | {readonly kind: 'timed-out'};

/** What became of a command on one connection. */
export type CommandResult =
  /** The instance answered. */
  | {readonly kind: 'answered'; readonly reply: InstanceReply}
  | UnansweredCommand;

/**
 * Makes a connection hold a session's values and one prepared statement.
 *
 * @param connection - The connection.
 * @param values - The session.
 * @param prepared - The statement that runs next, if it is prepared.
 * @param deadlineMs - Until when, in milliseconds of the steady clock.
 * @returns An attempt if the connection could not be brought in line; nothing
 *   that the caller asked for has run then.
 */
export async function synchronizeSession(
  connection: PooledConnection,
  values: SessionValues,
  prepared: PreparedStatement | undefined,
  deadlineMs: number,
): Promise<UnansweredCommand | undefined> {
  const name = prepared && upstreamStatementName(prepared);
  const plan = planSynchronization(connection, values.values, name);
  if (!plan.clear && plan.values.length === 0 && !plan.prepare) {
    return undefined;
  }
  const prepare: InstanceCommand | undefined =
    prepared === undefined || name === undefined
      ? undefined
      : {kind: CommandKind.Prepare, name, statement: prepared};
  try {
    const answer = await withTimeout(
      connection.synchronize(plan, prepare),
      deadlineMs - steadyNowMs(),
    );
    if (answer === TIMED_OUT) {
      return {
        kind: 'lost',
        wasSent: false,
        reason: 'the session could not be replayed in time',
      };
    }
    if (answer === undefined) return undefined;
    return {
      kind: 'lost',
      wasSent: false,
      reason: `the session could not be replayed: ${answer.refusal?.detail ?? ''}`,
    };
  } catch (error) {
    return toLostCommand(error, false);
  }
}

/**
 * Runs one command on a connection.
 *
 * @param connection - The connection.
 * @param command - The command.
 * @param deadlineMs - Until when, in milliseconds of the steady clock.
 */
export async function sendCommand(
  connection: PooledConnection,
  command: InstanceCommand,
  deadlineMs: number,
): Promise<CommandResult> {
  try {
    const reply = await withTimeout(
      connection.run(command),
      deadlineMs - steadyNowMs(),
    );
    if (reply === TIMED_OUT) return {kind: 'timed-out'};
    return {kind: 'answered', reply};
  } catch (error) {
    return toLostCommand(error, true);
  }
}

/** Describes a lost connection; any other error is a fault of the program. */
function toLostCommand(error: unknown, mayHaveRun: boolean): UnansweredCommand {
  if (!(error instanceof ConnectionLostError)) throw error;
  return {
    kind: 'lost',
    wasSent: mayHaveRun && error.wasSent,
    reason: error.message,
  };
}
