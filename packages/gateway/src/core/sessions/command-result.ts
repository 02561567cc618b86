import type {SapphiregladeError} from '@sapphireglade/decisions';
import {
  planSynchronization,
  upstreamStatementName,
} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {PooledConnection} from '../pool/index.js';
import {steadyNowMs, TIMED_OUT, withTimeout} from '../time/index.js';
import type {InstanceCommand, InstanceReply} from '../upstream/index.js';
import {ConnectionLostError} from '../upstream/index.js';
import type {BoundConnection} from './bound-connection.js';
import {logPreparation} from './log-preparation.js';
import type {ExecutionRequest} from './runnable-statement.js';
import {unsendableError} from './session-errors.js';
import {toPrepareCommand} from './to-prepare-command.js';

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
 * Replays the values of a session and the prepared statement of a request on a
 * connection.
 *
 * @param bound - The connection, with its pool.
 * @param request - The statement that runs next, with the session's values.
 * @param log - Receives a line for each statement that is prepared.
 * @returns The failure if the replay did not succeed, in which case no
 *   statement of the caller has run; otherwise undefined.
 */
export async function synchronizeSession(
  bound: BoundConnection,
  request: ExecutionRequest,
  log: Logger,
): Promise<UnansweredCommand | undefined> {
  const {connection} = bound;
  const {values, deadlineMs} = request;
  const {prepared} = request.statement;
  const name = prepared && upstreamStatementName(prepared);
  const plan = planSynchronization(connection, values.values, name);
  if (!plan.clear && plan.values.length === 0 && !plan.prepare) {
    return undefined;
  }
  const prepare = prepared && toPrepareCommand(prepared);
  if (plan.prepare && prepare !== undefined)
    logPreparation(log, bound, request.statement.requestId, prepare);
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
 * Returns the error for a statement that the protocol of the instance cannot
 * express, for example because its command is longer than a message may be.
 *
 * @param connection - The connection.
 * @param command - The command that runs the statement.
 * @param request - The statement.
 */
export function refuseUnsendable(
  connection: PooledConnection,
  command: InstanceCommand,
  {statement: {prepared}}: ExecutionRequest,
): SapphiregladeError | undefined {
  const canPrepare =
    prepared === undefined || connection.canSend(toPrepareCommand(prepared));
  if (canPrepare && connection.canSend(command)) return undefined;
  return unsendableError();
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
