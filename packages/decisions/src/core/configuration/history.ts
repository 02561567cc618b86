/**
 * The configuration of one process, with enough history to send another process
 * the changes since its revision.
 */
import type {
  ConfigurationSnapshot,
  VersionedResource,
} from '../resources/index.js';
import {EMPTY_SNAPSHOT} from '../resources/index.js';

/** Maximum number of past revisions from which a delta can be built. */
const MAXIMUM_APPLIED_REVISIONS = 1_024;

/** A snapshot with the revisions at which its resources changed. */
export interface ConfigurationHistory {
  readonly snapshot: ConfigurationSnapshot;
  /** Revision by which each resource had its current version, by key. */
  readonly changedAtRevision: ReadonlyMap<string, number>;
  /** Revision by which each deleted resource was removed, by key. */
  readonly deletedAtRevision: ReadonlyMap<string, number>;
  /**
   * Revisions that this process has applied, ascending, the current one last.
   * A delta can only start at one of them: a resource that was created and
   * deleted between two of them was never stored here.
   */
  readonly appliedRevisions: readonly number[];
}

/** One resource in a delta; a null entry means that it does not exist. */
export interface DeltaChange {
  readonly key: string;
  readonly entry: VersionedResource | null;
}

/**
 * The changes from one revision to another. A delta can be applied to every
 * revision from `from` up to, but not including, `to`, because it contains at
 * least all resources that changed since.
 */
export interface ConfigurationDelta {
  readonly from: number;
  readonly to: number;
  /** True if resources not in the delta do not exist; `from` is 0 in this case. */
  readonly isFull: boolean;
  readonly changes: readonly DeltaChange[];
}

/** The history before the first change. */
export const EMPTY_HISTORY: ConfigurationHistory = {
  snapshot: EMPTY_SNAPSHOT,
  changedAtRevision: new Map(),
  deletedAtRevision: new Map(),
  appliedRevisions: [],
};

/**
 * Builds the delta of all changes since a revision.
 *
 * @param history - The history of this process.
 * @param revision - The revision of the other process.
 * @returns The delta, or undefined if the other process is not behind.
 */
export function buildDeltaSince(
  history: ConfigurationHistory,
  revision: number,
): ConfigurationDelta | undefined {
  const {snapshot, changedAtRevision, deletedAtRevision, appliedRevisions} =
    history;
  if (revision >= snapshot.revision) return undefined;
  const isFull = !appliedRevisions.includes(revision);
  const from = isFull ? 0 : revision;
  const written = [...changedAtRevision]
    .filter(([, atRevision]) => atRevision > from)
    .map(([key]) => ({key, entry: snapshot.resources.get(key) ?? null}));
  const deleted = [...deletedAtRevision]
    .filter(([, atRevision]) => !isFull && atRevision > from)
    .map(([key]) => ({key, entry: null}));
  return {
    from,
    to: snapshot.revision,
    isFull,
    changes: [...written, ...deleted],
  };
}

/** Whether a delta can be applied at a revision. */
export const DeltaApplicability = {
  /** The process already has the target revision or a later one. */
  AlreadyApplied: 'old',
  /** Changes before the delta are missing. */
  Gap: 'gap',
  /** The delta can be applied. */
  Applies: 'applies',
} as const;

/** A value of {@link DeltaApplicability}. */
export type DeltaApplicability =
  (typeof DeltaApplicability)[keyof typeof DeltaApplicability];

/** Returns whether a delta can be applied at a revision. */
export function checkApplicability(
  delta: ConfigurationDelta,
  revision: number,
): DeltaApplicability {
  if (delta.to <= revision) return DeltaApplicability.AlreadyApplied;
  return delta.from <= revision
    ? DeltaApplicability.Applies
    : DeltaApplicability.Gap;
}

/**
 * Applies a delta. The revision never decreases: an old delta or one with a gap
 * has no effect.
 */
export function applyDelta(
  history: ConfigurationHistory,
  delta: ConfigurationDelta,
): ConfigurationHistory {
  const {revision} = history.snapshot;
  if (checkApplicability(delta, revision) !== DeltaApplicability.Applies)
    return history;
  const changes = delta.isFull
    ? [...delta.changes, ...listDeletions(history, delta)]
    : delta.changes;
  const resources = new Map(history.snapshot.resources);
  const changedAtRevision = new Map(history.changedAtRevision);
  const deletedAtRevision = new Map(history.deletedAtRevision);
  for (const {key, entry} of changes) {
    if (entry?.version === resources.get(key)?.version) continue;
    if (entry === null) {
      resources.delete(key);
      changedAtRevision.delete(key);
      deletedAtRevision.set(key, delta.to);
    } else {
      resources.set(key, entry);
      changedAtRevision.set(key, delta.to);
      deletedAtRevision.delete(key);
    }
  }
  return trimHistory({
    snapshot: {revision: delta.to, resources},
    changedAtRevision,
    deletedAtRevision,
    appliedRevisions: [...history.appliedRevisions, delta.to],
  });
}

/** Returns deletions of all resources that a full delta does not contain. */
function listDeletions(
  history: ConfigurationHistory,
  delta: ConfigurationDelta,
): DeltaChange[] {
  const includedKeys = new Set(delta.changes.map(({key}) => key));
  return [...history.snapshot.resources.keys()]
    .filter(key => !includedKeys.has(key))
    .map(key => ({key, entry: null}));
}

/** Drops the oldest applied revisions and the deletions up to them. */
function trimHistory(history: ConfigurationHistory): ConfigurationHistory {
  const appliedRevisions = history.appliedRevisions.slice(
    -MAXIMUM_APPLIED_REVISIONS,
  );
  const oldestRevision = appliedRevisions[0] ?? 0;
  const deletedAtRevision = new Map(
    [...history.deletedAtRevision].filter(
      ([, atRevision]) => atRevision > oldestRevision,
    ),
  );
  return {
    ...history,
    deletedAtRevision,
    appliedRevisions,
  };
}
