import {createHash} from 'node:crypto';

/** Number of possible hash values. */
const HASH_RANGE = 2 ** 48;

/**
 * Ranks nodes for a key by rendezvous hashing.
 *
 * Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
 * rates", 1998.
 *
 * @param key - Key to place, for example the name of a group.
 * @param nodes - Names of the candidates, in any order.
 * @returns The names, best first; equal on every process for the same set.
 */
export function rankNodes(key: string, nodes: readonly string[]): string[] {
  return nodes
    .map(node => ({node, weight: weightOf(key, node)}))
    .sort(
      (left, right) =>
        right.weight - left.weight || (left.node < right.node ? -1 : 1),
    )
    .map(({node}) => node);
}

/** Hashes key and node to a 48-bit number. */
function weightOf(key: string, node: string): number {
  const digest = createHash('sha256').update(`${key}\0${node}`).digest();
  return digest.readUIntBE(0, 6);
}

/**
 * Hashes key and node to a number between 0 and 1, both excluded.
 *
 * @param key - Key to place.
 * @param node - Name of a candidate.
 */
export function hashToUnitInterval(key: string, node: string): number {
  return (weightOf(key, node) + 1) / (HASH_RANGE + 2);
}
