import type {PreparedStatement, SessionValues} from '@sapphireglade/decisions';
import {
  planSynchronization,
  upstreamStatementName,
} from '@sapphireglade/decisions';
import type {PooledConnection} from '../pool/index.js';
import {steadyNowMs, TIMED_OUT, withTimeout} from '../time/index.js';
import type {InstanceCommand, InstanceReply} from '../upstream/index.js';
import {CommandKind, ConnectionLostError} from '../upstream/index.js';

/** The result of a command that was not answered. */
export type UnansweredCommand =
  /** The connection was lost. The command may have run only if it was sent. */
  | {readonly kind: 'lost'; readonly wasSent: boolean; readonly reason: string}
  /** No answer arrived before the deadline. The command may still run. */
  | {readonly kind: 'timed-out'};

/** The result of a command on one connection. */
export type CommandResult =
  /** The instance answered. */
  | {readonly kind: 'answered'; readonly reply: InstanceReply}
  | UnansweredCommand;

/**
 * Replays the values of a session and one prepared statement on a connection.
 *
 * @param connection - The connection.
 * @param values - Values of the session.
 * @param prepared - The statement that runs next, if it is prepared.
 * @param deadlineMs - Deadline, in milliseconds of the steady clock.
 * @returns The failure if the replay did not succeed, in which case no
 *   statement of the caller has run; otherwise undefined.
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
 * @param deadlineMs - Deadline, in milliseconds of the steady clock.
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

/** Converts the loss of a connection to a result and rethrows any other error. */
function toLostCommand(error: unknown, mayHaveRun: boolean): UnansweredCommand {
  if (!(error instanceof ConnectionLostError)) throw error;
  return {
    kind: 'lost',
    wasSent: mayHaveRun && error.wasSent,
    reason: error.message,
  };
}
