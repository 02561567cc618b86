/**
 * Plans the change that one proxy makes to the share record of a group.
 *
 * The sum of the shares of an instance never exceeds its connection limit. A
 * share ends when its holder releases it, or when its run has ended and the
 * instance itself counts none of its connections. A holder that is paused or
 * cut off keeps its share.
 */
import type {ShareGrant, ShareRecord} from './share-record.js';
import {grantedConnections, grantsOf} from './share-record.js';

/** One run of a proxy. */
export interface ShareHolder {
  readonly holder: string;
  readonly boot: string;
}

/** Share of one instance that this proxy requests. */
export interface ShareRequest {
  readonly instance: string;
  /** Number of connections in one share; 0 to release the share. */
  readonly size: number;
  /** Connection limit of the instance. */
  readonly limit: number;
  /** Number of connections that this proxy has open. */
  readonly openConnections: number;
}

/** Observations of other holders. */
export interface HolderObservations {
  /** Returns whether a run is known to have ended. */
  hasRunEnded(holder: ShareHolder): boolean;
  /**
   * Returns the number of connections of a run that the instance counts.
   *
   * @returns The number, or undefined if the instance has not been queried
   *   since the run ended.
   */
  countConnections(instance: string, holder: ShareHolder): number | undefined;
}

/**
 * Plans the changes that one proxy may make to a record.
 *
 * @param record - The record in the store.
 * @param self - This run of this proxy.
 * @param requests - Its requests, one for each instance.
 * @param observations - Observations of other holders.
 * @param writeId - Identifier of this change.
 * @returns The new record, or undefined if nothing changes.
 */
export function planShareChange(
  record: ShareRecord,
  self: ShareHolder,
  requests: readonly ShareRequest[],
  observations: HolderObservations,
  writeId: string,
): ShareRecord | undefined {
  const instances: Record<string, ShareGrant[]> = {...record.instances};
  for (const request of requests) {
    const grants = planInstanceShares(record, self, request, observations);
    if (grants.length === 0) delete instances[request.instance];
    else instances[request.instance] = grants;
  }
  const isUnchanged =
    JSON.stringify(instances) === JSON.stringify(record.instances);
  return isUnchanged ? undefined : {writeId, instances};
}

/** Returns the number of connections that a record allows one run. */
export function allowedConnections(
  record: ShareRecord,
  self: ShareHolder,
  instance: string,
): number {
  const own = grantsOf(record, instance).find(grant => isHeldBy(grant, self));
  return own?.connections ?? 0;
}

/**
 * Lists the instances for which a run holds shares without requesting them, for
 * example because the group no longer has these instances.
 */
export function unrequestedInstances(
  record: ShareRecord,
  self: ShareHolder,
  requests: readonly ShareRequest[],
): string[] {
  const requested = new Set(requests.map(({instance}) => instance));
  return Object.keys(record.instances).filter(
    instance =>
      !requested.has(instance) &&
      allowedConnections(record, self, instance) > 0,
  );
}

/** Plans the shares of one instance. */
function planInstanceShares(
  record: ShareRecord,
  self: ShareHolder,
  request: ShareRequest,
  observations: HolderObservations,
): ShareGrant[] {
  const {instance, limit, openConnections: openCount} = request;
  const currentGrants = grantsOf(record, instance).filter(
    grant =>
      isHeldBy(grant, self) || !isReclaimable(instance, grant, observations),
  );
  const own = currentGrants.find(grant => isHeldBy(grant, self));
  if (own !== undefined) {
    const connections = shrinkOwnShare(own, request);
    if (connections === own.connections) return currentGrants;
    return replaceOwnShare(currentGrants, self, connections);
  }
  if (request.size === 0 || openCount > 0) return currentGrants;
  const others = {...record, instances: {[instance]: currentGrants}};
  const remaining = limit - grantedConnections(others, instance);
  if (remaining < request.size) return currentGrants;
  return [...currentGrants, {...self, connections: request.size}];
}

/**
 * Shrinks a share to the requested size, but not below the open connections.
 */
function shrinkOwnShare(own: ShareGrant, request: ShareRequest): number {
  const floor = Math.max(request.size, request.openConnections);
  return Math.min(own.connections, floor);
}

/** Replaces the own share, or releases it if it has no connections. */
function replaceOwnShare(
  currentGrants: readonly ShareGrant[],
  self: ShareHolder,
  connections: number,
): ShareGrant[] {
  const others = currentGrants.filter(grant => !isHeldBy(grant, self));
  return connections === 0 ? others : [...others, {...self, connections}];
}

/** Whether a share can be granted to another proxy. */
function isReclaimable(
  instance: string,
  grant: ShareGrant,
  observations: HolderObservations,
): boolean {
  if (!observations.hasRunEnded(grant)) return false;
  return observations.countConnections(instance, grant) === 0;
}

function isHeldBy(grant: ShareGrant, holder: ShareHolder): boolean {
  return grant.holder === holder.holder && grant.boot === holder.boot;
}
