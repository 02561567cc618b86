import {formatPosition, PrimaryPhase} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {DatabaseGroup} from '../groups/index.js';
import {readClocks, wholeMilliseconds} from '../time/index.js';
import type {InstanceReply} from '../upstream/index.js';
import type {RunnableStatement} from './runnable-statement.js';

/** Logs commits that an instance answers after this proxy may have had to stop using it as the primary. */
export class LateCommitLog {
  /** @param log - Receives the lines. */
  constructor(private readonly log: Logger) {}

  /**
   * Handles the answer to a statement that commits a write.
   *
   * @param statement - The statement.
   * @param group - The group.
   * @param instance - Id of the instance that answered.
   * @param reply - The answer.
   * @returns Whether the commit is late.
   */
  record(
    {requestId, awaitsReplica}: RunnableStatement,
    group: DatabaseGroup,
    instance: string,
    {refusal, position}: InstanceReply,
  ): boolean {
    if (!awaitsReplica || refusal !== undefined) return false;
    const now = readClocks();
    const {record} = group.record ?? {};
    const isReleased =
      record?.phase !== PrimaryPhase.Steady || record.primary !== instance;
    const isLaterTerm =
      position !== undefined &&
      record !== undefined &&
      position.term < record.term;
    const isViewValid = group.viewFreshness.isValid(now);
    if (isViewValid && !isReleased && !isLaterTerm) return false;
    // In a planned change transactions may end before the primary is released.
    const isPlanned = record?.isPlanned === true;
    this.log[isPlanned ? 'info' : 'warn'](
      'A commit was answered after the view of its primary had ended.',
      {
        request: requestId,
        group: group.name,
        instance,
        position: position && formatPosition(position),
        primary: record?.primary,
        term: record?.term,
        phase: record?.phase,
        isPlanned,
        isViewValid,
        viewAgeMs: wholeMilliseconds(group.viewFreshness.ageMs(now)),
      },
    );
    return true;
  }
}
