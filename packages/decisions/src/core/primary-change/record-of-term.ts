import type {PrimaryRecord} from './types.js';
import {PrimaryPhase} from './types.js';

/** The fields of a record that every further record of the same term repeats. */
export type TermFields = Pick<
  PrimaryRecord,
  'term' | 'primary' | 'initialPosition' | 'primaryBornAtMs' | 'confirmers'
>;

/** Returns the fields that every further record of the same term repeats. */
export function termFields({
  term,
  primary,
  initialPosition,
  primaryBornAtMs,
  confirmers,
}: PrimaryRecord): TermFields {
  return {term, primary, initialPosition, primaryBornAtMs, confirmers};
}

/** Returns whether a record only says more about a primary that stays in use. */
export function isSameSteadyPrimary(
  previous: PrimaryRecord | undefined,
  next: PrimaryRecord,
): boolean {
  return (
    previous?.phase === PrimaryPhase.Steady &&
    next.phase === PrimaryPhase.Steady &&
    previous.term === next.term &&
    previous.primary === next.primary
  );
}
