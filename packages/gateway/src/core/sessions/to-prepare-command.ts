import type {PreparedStatement} from '@sapphireglade/decisions';
import {upstreamStatementName} from '@sapphireglade/decisions';
import type {PrepareCommand} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';

/** Returns the command that prepares a statement on a connection. */
export function toPrepareCommand(statement: PreparedStatement): PrepareCommand {
  const name = upstreamStatementName(statement);
  return {kind: CommandKind.Prepare, name, statement};
}
