import type {
  LogPosition,
  PreparedStatement,
  SessionValues,
} from '@sapphireglade/decisions';
import {upstreamStatementName} from '@sapphireglade/decisions';
import type {Route} from '../configuration/index.js';
import type {InstanceCommand} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';

/** A statement that an instance has to run. */
export interface RunnableStatement {
  readonly requestId: string;
  readonly isRead: boolean;
  /** Whether it commits a write, whose answer waits for a replica. */
  readonly awaitsReplica: boolean;
  /** The text, for a statement that is not prepared. */
  readonly text: string | undefined;
  /** The prepared statement, otherwise. */
  readonly prepared: PreparedStatement | undefined;
  /** Parameters of the prepared statement. */
  readonly parameters: string;
}

/** What a statement runs for. */
export interface ExecutionRequest {
  readonly statement: RunnableStatement;
  readonly route: Route;
  readonly values: SessionValues;
  /** When the statement or its transaction began, in milliseconds. */
  readonly startedAtMs: number;
  /** Until when, in milliseconds of the steady clock. */
  readonly deadlineMs: number;
  /** Until when it may wait for a connection, in milliseconds. */
  readonly queueDeadlineMs: number;
  /** Position of the session's last commit. */
  readonly ownCommit: LogPosition | undefined;
}

/**
 * Turns a statement into the command that runs it.
 *
 * @param statement - The statement.
 * @param atLeast - Position that the instance must have, for a read.
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
