import type {ChangeRecord, Resource} from '../resources/index.js';
import type {ConfigurationHead} from './store-layout.js';
import {
  buildBodyKey,
  encodeBody,
  MAXIMUM_RECENT_WRITES,
} from './store-layout.js';

/** A change of one resource requested by an operator. */
export interface ChangeProposal {
  /** Key of the resource, for example `group/ledger-1`. */
  readonly key: string;
  /** Version that the change is based on; 0 if the resource must not exist. */
  readonly expectedVersion: number;
  /** The new body; null deletes the resource. */
  readonly resource: Resource | null;
  /** Author, time and reason of the change. */
  readonly change: ChangeRecord;
  /** Unique identifier of this change. */
  readonly writeId: string;
}

/** The values to write for a proposal based on one head. */
export interface PreparedWrite {
  /** New version of the resource; 0 for a deletion. */
  readonly version: number;
  /** Key of the body; null for a deletion. */
  readonly bodyKey: string | null;
  /** Value of the body; null for a deletion. */
  readonly body: string | null;
  /** The head that accepts the change. */
  readonly head: ConfigurationHead;
}

/** Returns the version of a resource in a head; 0 if it does not exist. */
export function findResourceVersion(
  head: ConfigurationHead,
  key: string,
): number {
  return head.index[key]?.version ?? 0;
}

/** Returns whether a head was written by a change or by one soon after it. */
export function headContainsWrite(
  head: ConfigurationHead,
  writeId: string,
): boolean {
  return head.writeId === writeId || head.recentWrites.includes(writeId);
}

/**
 * Prepares the write of a proposal on a head that has the expected version.
 *
 * The version of a new resource is the revision. As every change increments the
 * revision, a resource that is deleted and created again gets a version that it
 * never had, and an operator who read the old one cannot overwrite it.
 */
export function prepareWrite(
  proposal: ChangeProposal,
  head: ConfigurationHead,
): PreparedWrite {
  const revision = head.revision + 1;
  const prepared = prepareBody(proposal, revision);
  const {[proposal.key]: _replaced, ...others} = head.index;
  const index =
    prepared.bodyKey === null
      ? others
      : {
          ...others,
          [proposal.key]: {version: prepared.version, body: prepared.bodyKey},
        };
  const recentWrites = [...head.recentWrites, proposal.writeId];
  return {
    ...prepared,
    head: {
      revision,
      index,
      writeId: proposal.writeId,
      recentWrites: recentWrites.slice(-MAXIMUM_RECENT_WRITES),
    },
  };
}

/** Determines the version and the encoded body of a proposal. */
function prepareBody(
  proposal: ChangeProposal,
  revision: number,
): Omit<PreparedWrite, 'head'> {
  const {resource, change, expectedVersion, key, writeId} = proposal;
  if (resource === null) return {version: 0, bodyKey: null, body: null};
  const version = expectedVersion === 0 ? revision : expectedVersion + 1;
  return {
    version,
    bodyKey: buildBodyKey(key, version, writeId),
    body: encodeBody({resource, change}),
  };
}
