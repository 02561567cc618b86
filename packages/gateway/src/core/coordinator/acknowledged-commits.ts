import type {LogPosition, PrimaryRecord} from '@sapphireglade/decisions';
import {comparePositions} from '@sapphireglade/decisions';
import type {DatabaseGroup, VersionedPrimaryRecord} from '../groups/index.js';
import {acknowledgedBound, REGISTRATION_MS} from '../primary-health/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';

/**
 * Returns whether a position includes every commit that any proxy acknowledged
 * before it released the old primary.
 *
 * A proxy that has not released it, or does not know what it acknowledged, may
 * have acknowledged more; so may one after an order or in a planned change. If an
 * instance that is not listed confirmed a commit, the position shows that another
 * one has it.
 *
 * @param context - Dependencies of the change of primary.
 * @param group - The group.
 * @param known - The record that took the old primary out of use.
 * @param position - The position.
 */
export function includesAcknowledged(
  {knownProxies, releases, self}: PrimaryChangeContext,
  group: DatabaseGroup,
  known: VersionedPrimaryRecord,
  position: LogPosition,
): boolean {
  if (mayAcknowledgeAfterRelease(known.record)) return false;
  // A proxy that has stopped does not tell any more.
  if (knownProxies.unchangedForMs < REGISTRATION_MS) return false;
  const bounds = knownProxies.names
    .filter(name => name !== self)
    .map(name => releases.acknowledgedBy(group.name, name, known));
  return [acknowledgedBound(group), ...bounds].every(
    bound =>
      bound !== undefined &&
      (bound.position === undefined ||
        comparePositions(position, bound.position) >= 0),
  );
}

/**
 * Records what acknowledged commits have certainly reached, as far as this proxy
 * and the releases of the others tell, so that no instance without one of them is
 * taken for proved.
 *
 * @param context - Dependencies of the change of primary.
 * @param group - The group.
 */
export function recordLeastAcknowledged(
  context: PrimaryChangeContext,
  {name, acknowledged: {leastPosition}}: DatabaseGroup,
): void {
  if (leastPosition !== undefined)
    context.departures.of(name).recordAcknowledged(leastPosition);
  recordLeastReleased(context, name);
}

/**
 * Records what the releases of a group tell of acknowledged commits. A release goes
 * with its proxy, what it says does not.
 *
 * @param context - Dependencies of the change of primary.
 * @param group - Name of the group.
 */
export function recordLeastReleased(
  {departures, knownProxies, releases}: PrimaryChangeContext,
  group: string,
): void {
  for (const name of knownProxies.names) {
    const position = releases.leastAcknowledgedBy(group, name);
    if (position !== undefined)
      departures.of(group).recordAcknowledged(position);
  }
}

function mayAcknowledgeAfterRelease({
  isPlanned,
  orders = 0,
}: PrimaryRecord): boolean {
  return isPlanned === true || orders > 0;
}
