import type {GroupResource} from '../../../src/index.js';

/** Zones of the instances and of the lead owners. */
export const ZONES = ['zone-a', 'zone-b', 'zone-c'];

/** Returns a group of the named instances, one zone after the other. */
export function groupOf(names: readonly string[]): GroupResource {
  const instances = names.map((name, index) => ({
    name,
    zone: ZONES[index % ZONES.length] ?? '',
    address: '127.0.0.1',
    port: 1,
    slots: 3,
    connectionLimit: 20,
    state: 'active' as const,
  }));
  return {kind: 'group', name: 'ledger', instances, allowedAgeMs: 1_000};
}

/** Returns the item that a choice selects. */
export function pick<Item>(items: readonly Item[], choice: number): Item {
  const item = items[choice % items.length];
  if (item === undefined) throw new Error('There is nothing to pick.');
  return item;
}
