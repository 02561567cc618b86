import type {ChangeRecord, Resource} from '../resources/index.js';
import type {ConfigurationHead} from './store-layout.js';
import {
  buildBodyKey,
  encodeBody,
  MAXIMUM_RECENT_WRITES,
} from './store-layout.js';

/** A change of one resource that an operator asks for. */
export interface ChangeProposal {
  /** Key of the resource, for example `group/ledger-1`. */
  readonly key: string;
  /** Version that the operator has seen; 0 if the resource must not exist. */
  readonly expectedVersion: number;
  /** The new body; null deletes the resource. */
  readonly resource: Resource | null;
  /** Who, when and why. */
  readonly change: ChangeRecord;
  /** Identifies this change; no other change ever has the same. */
  readonly writeId: string;
}

/** A proposal placed upon one head. */
export interface PreparedWrite {
  /** Version that the resource gets; 0 for a deletion. */
  readonly version: number;
  /** Key of the body; null for a deletion. */
  readonly bodyKey: string | null;
  /** Value of the body; null for a deletion. */
  readonly body: string | null;
  /** The head that accepts the change. */
  readonly head: ConfigurationHead;
}

/** The version of a resource in a head; 0 if it does not exist. */
export function findResourceVersion(
  head: ConfigurationHead,
  key: string,
): number {
  return head.index[key]?.version ?? 0;
}

/** Whether a head was made by a change, or by one that follows it closely. */
export function headContainsWrite(
  head: ConfigurationHead,
  writeId: string,
): boolean {
  return head.writeId === writeId || head.recentWrites.includes(writeId);
}

/**
 * Places a proposal upon a head that has the expected version.
 *
 * A new resource takes the revision as its version. As every change raises the
 * revision, a resource that was deleted and created again gets a version that
 * it never had, and an operator who saw the old one cannot overwrite it.
 */
export function prepareWrite(
  proposal: ChangeProposal,
  head: ConfigurationHead,
): PreparedWrite {
  const revision = head.revision + 1;
  const placed = prepareBody(proposal, revision);
  const {[proposal.key]: _replaced, ...others} = head.index;
  const index =
    placed.bodyKey === null
      ? others
      : {
          ...others,
          [proposal.key]: {version: placed.version, body: placed.bodyKey},
        };
  const recentWrites = [...head.recentWrites, proposal.writeId];
  return {
    ...placed,
    head: {
      revision,
      index,
      writeId: proposal.writeId,
      recentWrites: recentWrites.slice(-MAXIMUM_RECENT_WRITES),
    },
  };
}

/** Chooses version and body of a proposal. */
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
