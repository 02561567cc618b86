/**
 * The configuration of one process with enough of its past to tell another
 * process what changed since its revision.
 */
import type {
  ConfigurationSnapshot,
  VersionedResource,
} from '../resources/index.js';
import {EMPTY_SNAPSHOT} from '../resources/index.js';

/** Most revisions of the past from which a delta can be told. */
const MAXIMUM_APPLIED_REVISIONS = 1_024;

/** A snapshot with the revisions at which its parts changed. */
export interface ConfigurationHistory {
  readonly snapshot: ConfigurationSnapshot;
  /** Revision by which each resource had its present version, by key. */
  readonly changedAtRevision: ReadonlyMap<string, number>;
  /** Revision by which each deleted resource was gone, by key. */
  readonly deletedAtRevision: ReadonlyMap<string, number>;
  /**
   * Revisions at which this process stood, ascending, the present one last.
   * Only from these is it known what changed since: a resource that was
   * created and deleted between two of them was never seen here.
   */
  readonly appliedRevisions: readonly number[];
}

/** One resource in a delta; null: it does not exist. */
export interface DeltaChange {
  readonly key: string;
  readonly entry: VersionedResource | null;
}

/**
 * What changed from one revision to another. It may be applied to every
 * revision from `from` up to, not including, `to`: it names at least all
 * resources that changed since.
 */
export interface ConfigurationDelta {
  readonly from: number;
  readonly to: number;
  /** True if resources that are not named do not exist; `from` is 0 then. */
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
 * Says what changed since a revision.
 *
 * @param history - What this process knows.
 * @param revision - What the other process has.
 * @returns The delta, or nothing if the other process is not behind.
 */
export function buildDeltaSince(
  history: ConfigurationHistory,
  revision: number,
): ConfigurationDelta | undefined {
  const {
    snapshot,
    changedAtRevision: changedAt,
    deletedAtRevision: deletedAt,
    appliedRevisions: checkpoints,
  } = history;
  if (revision >= snapshot.revision) return undefined;
  const isFull = !checkpoints.includes(revision);
  const from = isFull ? 0 : revision;
  const written = [...changedAt]
    .filter(([, at]) => at > from)
    .map(([key]) => ({key, entry: snapshot.resources.get(key) ?? null}));
  const deleted = [...deletedAt]
    .filter(([, at]) => !isFull && at > from)
    .map(([key]) => ({key, entry: null}));
  return {
    from,
    to: snapshot.revision,
    isFull,
    changes: [...written, ...deleted],
  };
}

/** Whether a delta takes a process further. */
export const DeltaApplicability = {
  /** The process has this revision or a later one. */
  AlreadyApplied: 'old',
  /** Changes before the delta are missing. */
  Gap: 'gap',
  /** The delta can be applied. */
  Applies: 'applies',
} as const;

/** One of the kinds of fit. */
export type DeltaApplicability =
  (typeof DeltaApplicability)[keyof typeof DeltaApplicability];

/** Says whether a delta can be applied at a revision. */
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
 * Applies a delta. The revision never falls: an old delta and one with a gap
 * change nothing.
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
  const changedAt = new Map(history.changedAtRevision);
  const deletedAt = new Map(history.deletedAtRevision);
  for (const {key, entry} of changes) {
    if (entry?.version === resources.get(key)?.version) continue;
    if (entry === null) {
      resources.delete(key);
      changedAt.delete(key);
      deletedAt.set(key, delta.to);
    } else {
      resources.set(key, entry);
      changedAt.set(key, delta.to);
      deletedAt.delete(key);
    }
  }
  return trimHistory({
    snapshot: {revision: delta.to, resources},
    changedAtRevision: changedAt,
    deletedAtRevision: deletedAt,
    appliedRevisions: [...history.appliedRevisions, delta.to],
  });
}

/** Deletes what a full delta does not name. */
function listDeletions(
  history: ConfigurationHistory,
  delta: ConfigurationDelta,
): DeltaChange[] {
  const named = new Set(delta.changes.map(({key}) => key));
  return [...history.snapshot.resources.keys()]
    .filter(key => !named.has(key))
    .map(key => ({key, entry: null}));
}

/** Forgets the oldest checkpoints and the deletions up to them. */
function trimHistory(history: ConfigurationHistory): ConfigurationHistory {
  const checkpoints = history.appliedRevisions.slice(
    -MAXIMUM_APPLIED_REVISIONS,
  );
  const oldest = checkpoints[0] ?? 0;
  const deletedAt = new Map(
    [...history.deletedAtRevision].filter(([, at]) => at > oldest),
  );
  return {
    ...history,
    deletedAtRevision: deletedAt,
    appliedRevisions: checkpoints,
  };
}
