import type {ChangeRecord} from './change-record.js';
import type {
  CallerResource,
  GroupResource,
  PromotionResource,
  Resource,
  ResourceKind,
} from './schemas.js';

/** A resource with its version. */
export interface VersionedResource {
  /** Increases with each accepted change of this resource. */
  readonly version: number;
  /** The fields of the resource. */
  readonly resource: Resource;
  /** Author, time and reason of this version, if recorded. */
  readonly change?: ChangeRecord | undefined;
}

/** The whole configuration at one revision. */
export interface ConfigurationSnapshot {
  /** Increases by one with each accepted change; 0 is the empty configuration. */
  readonly revision: number;
  /** Resources by key, see {@link resourceKey}. */
  readonly resources: ReadonlyMap<string, VersionedResource>;
}

/** The configuration before the first change. */
export const EMPTY_SNAPSHOT: ConfigurationSnapshot = {
  revision: 0,
  resources: new Map(),
};

/**
 * Builds the key of a resource.
 *
 * @returns The key, for example `group/ledger-1`.
 */
export function resourceKey(kind: ResourceKind, name: string): string {
  return `${kind}/${name}`;
}

/** Finds a group by name. */
export function findGroup(
  snapshot: ConfigurationSnapshot,
  name: string,
): GroupResource | undefined {
  const found = snapshot.resources.get(resourceKey('group', name))?.resource;
  return found?.kind === 'group' ? found : undefined;
}

/** Finds a caller by name. */
export function findCaller(
  snapshot: ConfigurationSnapshot,
  name: string,
): CallerResource | undefined {
  const found = snapshot.resources.get(resourceKey('caller', name))?.resource;
  return found?.kind === 'caller' ? found : undefined;
}

/** Finds the promotion resource of a group. */
export function findPromotion(
  snapshot: ConfigurationSnapshot,
  group: string,
): PromotionResource | undefined {
  const key = resourceKey('promotion', group);
  const found = snapshot.resources.get(key)?.resource;
  return found?.kind === 'promotion' ? found : undefined;
}

/** Lists all groups. */
export function listGroups(snapshot: ConfigurationSnapshot): GroupResource[] {
  return [...snapshot.resources.values()]
    .map(entry => entry.resource)
    .filter(resource => resource.kind === 'group');
}
