import type {Logger} from '@sapphireglade/runtime';
import type {PrepareCommand} from '../upstream/index.js';
import type {BoundConnection} from './bound-connection.js';

/** Most characters of a statement's shape in a log line. */
const MAXIMUM_SHAPE_CHARACTERS = 80;

/**
 * Logs that a statement is prepared on a connection, so that the name in an
 * executed statement can be traced to its kind and shape.
 *
 * @param log - Receives the line.
 * @param bound - The connection, with its pool.
 * @param requestId - Identifier of the request that needs the statement.
 * @param command - The command that prepares it.
 */
export function logPreparation(
  log: Logger,
  {pool, connection}: BoundConnection,
  requestId: string,
  {name, statement: {kind, shape}}: PrepareCommand,
): void {
  log.info('A statement is prepared on a connection.', {
    request: requestId,
    instance: pool.endpoint.id,
    connection: connection.id,
    name: name.slice(0, MAXIMUM_SHAPE_CHARACTERS),
    kind,
    shape: shape.slice(0, MAXIMUM_SHAPE_CHARACTERS),
    shapeBytes: shape.length,
  });
}
