import type {InstanceCommand, InstanceReply} from '../upstream/index.js';
import type {PooledConnection} from './pooled-connection.js';

/**
 * Says since when an instance owes an answer and has been silent.
 *
 * One lost answer alone does not count, while others arrive.
 *
 * @param connections - The open connections to the instance.
 */
export function unresponsiveSince(
  connections: readonly PooledConnection[],
): number | undefined {
  const waitingMs = connections.flatMap(each => each.unansweredSinceMs ?? []);
  if (waitingMs.length === 0) return undefined;
  const answersMs = connections.map(each => each.lastAnsweredAtMs);
  return Math.max(Math.min(...waitingMs), ...answersMs);
}

/**
 * Says since when commits have been sent and none has been acknowledged.
 *
 * @param connections - The open connections to the instance.
 * @param lastCommitMs - When a commit was last acknowledged.
 */
export function commitsStalledSince(
  connections: readonly PooledConnection[],
  lastCommitMs: number,
): number | undefined {
  const waitingMs = connections.flatMap(
    each => each.unansweredCommitSinceMs ?? [],
  );
  if (waitingMs.length === 0) return undefined;
  return Math.max(Math.min(...waitingMs), lastCommitMs);
}

/** Says whether an answer acknowledges a commit that a replica has. */
export function isAcknowledgedCommit(
  command: InstanceCommand,
  reply: InstanceReply,
): boolean {
  const isCommit = 'awaitsReplica' in command && command.awaitsReplica;
  return isCommit && reply.refusal === undefined;
}
