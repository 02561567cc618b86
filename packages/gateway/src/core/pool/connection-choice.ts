import {
  countSynchronizationMessages,
  planSynchronization,
} from '@sapphireglade/decisions';
import type {PooledConnection} from './pooled-connection.js';

/**
 * Returns the connection whose session state needs the fewest changes.
 *
 * Among equals the oldest one is taken, so that the others can reach the idle
 * timeout, and one whose instance is known for long stays.
 *
 * @param idle - The idle connections.
 * @param values - Values of the session that will use it.
 */
export function cheapestConnection(
  idle: readonly PooledConnection[],
  values: ReadonlyMap<string, string>,
): PooledConnection | undefined {
  let best: PooledConnection | undefined;
  let bestCost = Infinity;
  for (const connection of idle) {
    const cost = countSynchronizationMessages(
      planSynchronization(connection, values),
    );
    const isOlder =
      best !== undefined && connection.openedAtMs < best.openedAtMs;
    if (cost > bestCost || (cost === bestCost && !isOlder)) continue;
    best = connection;
    bestCost = cost;
  }
  return best;
}

/** Returns the connection that opened last. */
export function youngestConnection(
  connections: readonly PooledConnection[],
): PooledConnection | undefined {
  return connections.reduce<PooledConnection | undefined>(
    (youngest, each) =>
      youngest === undefined || each.openedAtMs > youngest.openedAtMs
        ? each
        : youngest,
    undefined,
  );
}

/** Returns the connection whose instance is known to have run for longest. */
export function longestStanding(
  connections: Iterable<PooledConnection>,
): PooledConnection | undefined {
  return [...connections].reduce<PooledConnection | undefined>(
    (longest, each) =>
      longest === undefined || each.standingSinceMs < longest.standingSinceMs
        ? each
        : longest,
    undefined,
  );
}

/** Lets the connections of one pool learn from the oldest one how long their instance has run. */
export function learnStanding(
  connections: ReadonlySet<PooledConnection>,
): void {
  const longest = longestStanding(connections);
  if (longest === undefined) return;
  for (const connection of connections) connection.learnStanding(longest);
}
