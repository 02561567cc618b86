import type {InstanceCommand, InstanceReply} from '../upstream/index.js';
import type {PooledConnection} from './pooled-connection.js';

/**
 * Returns the time since which an instance has not answered although commands
 * are pending; undefined if none is.
 *
 * A single lost answer does not count while other answers arrive.
 *
 * @param connections - The open connections to the instance.
 */
export function unresponsiveSince(
  connections: readonly PooledConnection[],
): number | undefined {
  const unansweredSinceMs = connections.flatMap(
    each => each.unansweredSinceMs ?? [],
  );
  if (unansweredSinceMs.length === 0) return undefined;
  const lastAnswersAtMs = connections.map(each => each.lastAnsweredAtMs);
  return Math.max(Math.min(...unansweredSinceMs), ...lastAnswersAtMs);
}

/**
 * Returns the time since which commits are pending and none was acknowledged;
 * undefined if none is pending.
 *
 * @param connections - The open connections to the instance.
 * @param lastCommitAtMs - When a commit was last acknowledged, in milliseconds.
 */
export function commitsStalledSince(
  connections: readonly PooledConnection[],
  lastCommitAtMs: number,
): number | undefined {
  const unansweredSinceMs = connections.flatMap(
    each => each.unansweredCommitSinceMs ?? [],
  );
  if (unansweredSinceMs.length === 0) return undefined;
  return Math.max(Math.min(...unansweredSinceMs), lastCommitAtMs);
}

/** Returns whether the answer to a command waits for a replica. */
export function awaitsReplica(command: InstanceCommand): boolean {
  return 'awaitsReplica' in command && command.awaitsReplica;
}

/** Returns whether a reply acknowledges a commit that a replica has received. */
export function isAcknowledgedCommit(
  command: InstanceCommand,
  reply: InstanceReply,
): boolean {
  return awaitsReplica(command) && reply.refusal === undefined;
}
