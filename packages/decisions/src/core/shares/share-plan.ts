/**
 * Decides how one proxy wants to change the share record of a group.
 *
 * The sum of the shares of an instance never passes the owner's limit. A share
 * ends by its holder's release, or when its run is gone and the instance
 * itself counts none of its connections. A holder that is paused or cut off
 * keeps its share.
 */
import type {ShareGrant, ShareRecord} from './share-record.js';
import {grantedConnections, grantsOf} from './share-record.js';

/** One run of a proxy. */
export interface ShareHolder {
  readonly holder: string;
  readonly boot: string;
}

/** What this proxy wants of one instance. */
export interface ShareRequest {
  readonly instance: string;
  /** How many connections one share allows; 0 to give the share back. */
  readonly size: number;
  /** The owner's limit on connections to the instance. */
  readonly limit: number;
  /** How many connections this proxy holds now. */
  readonly openConnections: number;
}

/** What is known of other holders. */
export interface HolderObservations {
  /** Whether a run is known to have ended. */
  hasRunEnded(holder: ShareHolder): boolean;
  /**
   * How many connections of a run the instance counts.
   *
   * @returns Nothing if the instance has not been asked since the run ended.
   */
  countConnections(instance: string, holder: ShareHolder): number | undefined;
}

/**
 * Changes a record as far as one proxy may.
 *
 * @param record - The record in the store.
 * @param self - This run of this proxy.
 * @param wishes - What it wants of each instance.
 * @param evidence - What it knows of other holders.
 * @param writeId - Identifies this change.
 * @returns The new record, or nothing if there is nothing to change.
 */
export function planShareChange(
  record: ShareRecord,
  self: ShareHolder,
  wishes: readonly ShareRequest[],
  evidence: HolderObservations,
  writeId: string,
): ShareRecord | undefined {
  const instances: Record<string, ShareGrant[]> = {...record.instances};
  for (const wish of wishes) {
    const grants = planInstanceShares(record, self, wish, evidence);
    if (grants.length === 0) delete instances[wish.instance];
    else instances[wish.instance] = grants;
  }
  const isHeldBy =
    JSON.stringify(instances) === JSON.stringify(record.instances);
  return isHeldBy ? undefined : {writeId, instances};
}

/** How many connections a record allows one run. */
export function allowedConnections(
  record: ShareRecord,
  self: ShareHolder,
  instance: string,
): number {
  const own = grantsOf(record, instance).find(grant => isSame(grant, self));
  return own?.connections ?? 0;
}

/**
 * Lists the instances of which a run holds shares without wishing for them,
 * for example because the group no longer has them.
 */
export function unrequestedInstances(
  record: ShareRecord,
  self: ShareHolder,
  wishes: readonly ShareRequest[],
): string[] {
  const wished = new Set(wishes.map(({instance}) => instance));
  return Object.keys(record.instances).filter(
    instance =>
      !wished.has(instance) && allowedConnections(record, self, instance) > 0,
  );
}

/** Plans the shares of one instance. */
function planInstanceShares(
  record: ShareRecord,
  self: ShareHolder,
  wish: ShareRequest,
  evidence: HolderObservations,
): ShareGrant[] {
  const {instance, limit, openConnections: connectionsHeld} = wish;
  const present = grantsOf(record, instance).filter(
    grant => isSame(grant, self) || !isReclaimable(instance, grant, evidence),
  );
  const own = present.find(grant => isSame(grant, self));
  if (own !== undefined) {
    const connections = shrinkOwnShare(own, wish);
    if (connections === own.connections) return present;
    return replaceOwnShare(present, self, connections);
  }
  if (wish.size === 0 || connectionsHeld > 0) return present;
  const others = {...record, instances: {[instance]: present}};
  const remaining = limit - grantedConnections(others, instance);
  if (remaining < wish.size) return present;
  return [...present, {...self, connections: wish.size}];
}

/** A share shrinks to what is wished, but not under what is open. */
function shrinkOwnShare(own: ShareGrant, wish: ShareRequest): number {
  const floor = Math.max(wish.size, wish.openConnections);
  return Math.min(own.connections, floor);
}

/** Replaces the own share; one of no connections is given back. */
function replaceOwnShare(
  present: readonly ShareGrant[],
  self: ShareHolder,
  connections: number,
): ShareGrant[] {
  const others = present.filter(grant => !isSame(grant, self));
  return connections === 0 ? others : [...others, {...self, connections}];
}

/** Whether a share can be given to another proxy. */
function isReclaimable(
  instance: string,
  grant: ShareGrant,
  evidence: HolderObservations,
): boolean {
  if (!evidence.hasRunEnded(grant)) return false;
  return evidence.countConnections(instance, grant) === 0;
}

function isSame(grant: ShareGrant, holder: ShareHolder): boolean {
  return grant.holder === holder.holder && grant.boot === holder.boot;
}
