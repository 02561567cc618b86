import type {
  LogPosition,
  PreparedStatement,
  SessionValues,
} from '@sapphireglade/decisions';
import {upstreamStatementName} from '@sapphireglade/decisions';
import type {Route} from '../configuration/index.js';
import type {InstanceCommand} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';

/** A statement to run on an instance. */
export interface RunnableStatement {
  readonly requestId: string;
  readonly isRead: boolean;
  /** Whether it commits a write, in which case the answer waits for a replica. */
  readonly awaitsReplica: boolean;
  /** Text of the statement, if it is not prepared. */
  readonly text: string | undefined;
  /** The prepared statement, if there is no text. */
  readonly prepared: PreparedStatement | undefined;
  /** Parameters of the prepared statement. */
  readonly parameters: string;
}

/** A statement with its route, session values and deadlines. */
export interface ExecutionRequest {
  readonly statement: RunnableStatement;
  readonly route: Route;
  readonly values: SessionValues;
  /** When the statement or its transaction started, in milliseconds of the steady clock. */
  readonly startedAtMs: number;
  /** Deadline, in milliseconds of the steady clock. */
  readonly deadlineMs: number;
  /** Deadline for obtaining a connection, in milliseconds of the steady clock. */
  readonly queueDeadlineMs: number;
  /** Position of the session's last commit. */
  readonly ownCommit: LogPosition | undefined;
}

/**
 * Limits the deadlines of a request.
 *
 * @param request - The request.
 * @param latestMs - Latest deadline, in milliseconds of the steady clock.
 */
export function limitDeadlines(
  request: ExecutionRequest,
  latestMs: number,
): ExecutionRequest {
  return {
    ...request,
    deadlineMs: Math.min(request.deadlineMs, latestMs),
    queueDeadlineMs: Math.min(request.queueDeadlineMs, latestMs),
  };
}

/**
 * Converts a statement to the command that runs it.
 *
 * @param statement - The statement.
 * @param atLeast - Position that the instance must have reached, for a read.
 */
export function toCommand(
  statement: RunnableStatement,
  atLeast: LogPosition | undefined,
): InstanceCommand {
  const {requestId, prepared, parameters, awaitsReplica} = statement;
  if (prepared !== undefined) {
    const name = upstreamStatementName(prepared);
    const kind = CommandKind.Execute;
    return {kind, requestId, name, parameters, awaitsReplica, atLeast};
  }
  const text = statement.text ?? '';
  const kind = CommandKind.Statement;
  return {kind, requestId, text, awaitsReplica, atLeast};
}
