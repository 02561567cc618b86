import {InstanceRole} from '../groups/index.js';
import type {GroupFreshness, InstanceObservation} from './types.js';

/** Returns whether an instance has its expected role in the current term. */
export function isInTerm(
  freshness: GroupFreshness,
  observation: InstanceObservation,
): boolean {
  const {term, primary} = freshness;
  if (observation.term !== term || observation.grantedTerm !== term) {
    return false;
  }
  const isExpectedPrimary = observation.instance === primary;
  return (observation.role === InstanceRole.Primary) === isExpectedPrimary;
}
