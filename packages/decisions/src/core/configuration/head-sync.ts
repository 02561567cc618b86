/** Brings a process up to date with the head: bodies to fetch and the delta. */
import type {VersionedResource} from '../resources/index.js';
import type {ConfigurationDelta, ConfigurationHistory} from './history.js';
import type {ConfigurationHead} from './store-layout.js';
import {parseBodyKey} from './store-layout.js';

/** A body that has to be fetched. */
export interface MissingBody {
  /** Key of the resource. */
  readonly key: string;
  /** Version of the resource. */
  readonly version: number;
  /** Key of the body in the store. */
  readonly bodyKey: string;
}

/**
 * Lists the bodies of a head that this process does not have.
 *
 * @returns The bodies; empty if the head is not newer.
 */
export function listMissingBodies(
  history: ConfigurationHistory,
  head: ConfigurationHead,
): MissingBody[] {
  const {revision, resources} = history.snapshot;
  if (head.revision <= revision) return [];
  return Object.entries(head.index)
    .filter(([key, entry]) => resources.get(key)?.version !== entry.version)
    .map(([key, {version, body}]) => ({key, version, bodyKey: body}));
}

/**
 * Builds the delta from the local configuration to a head.
 *
 * @param fetched - The bodies listed by {@link listMissingBodies}, by key.
 * @returns The delta, or undefined if the head is not newer or a body is
 *   missing.
 */
export function buildDeltaToHead(
  history: ConfigurationHistory,
  head: ConfigurationHead,
  fetched: ReadonlyMap<string, VersionedResource>,
): ConfigurationDelta | undefined {
  const {revision, resources} = history.snapshot;
  if (head.revision <= revision) return undefined;
  const needed = listMissingBodies(history, head);
  const written = needed.map(({key, version}) => {
    const entry = fetched.get(key);
    return {key, entry: entry?.version === version ? entry : null};
  });
  if (written.some(({entry}) => entry === null)) return undefined;
  const deleted = [...resources.keys()]
    .filter(key => head.index[key] === undefined)
    .map(key => ({key, entry: null}));
  return {
    from: revision,
    to: head.revision,
    isFull: revision === 0,
    changes: [...written, ...deleted],
  };
}

/**
 * Lists the bodies that no current or future head references.
 *
 * A body is obsolete once the head has a version of its resource that is at least
 * its own, or has no such resource and a revision that is at least its version:
 * no change can be accepted with that version any more. The rule uses no clock, so
 * a writer that was paused for hours loses nothing.
 *
 * @param head - Any head that was read; an older head only keeps more bodies.
 * @param bodyKeys - Keys of bodies in the store.
 */
export function findObsoleteBodies(
  head: ConfigurationHead,
  bodyKeys: readonly string[],
): string[] {
  return bodyKeys.filter(bodyKey => {
    const parts = parseBodyKey(bodyKey);
    if (parts === undefined) return false;
    const current = head.index[parts.key];
    if (current?.body === bodyKey) return false;
    const highestObsoleteVersion = current?.version ?? head.revision;
    return parts.version <= highestObsoleteVersion;
  });
}
