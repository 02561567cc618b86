import type {CommitsToInclude, PrimaryRecord} from '@sapphireglade/decisions';
import type {AcknowledgedCommits} from './acknowledged-commits.js';

/** The parts of a group that say what was acknowledged in it. */
interface AcknowledgingGroup {
  readonly acknowledged: AcknowledgedCommits;
  readonly record: {readonly record: PrimaryRecord} | undefined;
}

/**
 * Returns what a log has reached if it has every commit that this process has
 * acknowledged in a group.
 *
 * The start of a later term includes the commits of an earlier one, and may lie
 * below a position that was shown with the last of them.
 *
 * @param group - The group.
 */
export function commitsToInclude({
  acknowledged: {position, isComplete},
  record,
}: AcknowledgingGroup): CommitsToInclude {
  const {term = 0, initialPosition} = record?.record ?? {};
  const isBefore =
    position !== undefined &&
    initialPosition !== undefined &&
    position.term < term &&
    position.term <= initialPosition.term;
  return {position: isBefore ? initialPosition : position, isComplete};
}
