import type {PrimaryRecord, ReplicationReport} from '@sapphireglade/decisions';
import {formatPosition} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import type {DatabaseGroup} from '../groups/index.js';
import {readClocks, wholeMilliseconds} from '../time/index.js';

/** Logs which replica's report verifies the view of a primary without the store: a line when that changes. */
export class ViewVerificationLog {
  private readonly logged = new Map<string, string>();

  /** @param log - Receives the lines. */
  constructor(private readonly log: Logger) {}

  /**
   * Handles reports that verify a view.
   *
   * @param group - The group.
   * @param record - The record of the primary that reported to lead.
   * @param replica - The report of the replica that follows it.
   */
  record(
    {name, members, viewFreshness}: DatabaseGroup,
    {primary, term}: PrimaryRecord,
    replica: ReplicationReport | undefined,
  ): void {
    if (replica === undefined) return;
    const {bornAtMs, isLeaving} = members.get(replica.id)?.instance ?? {};
    const key = `${primary} ${term} ${replica.id} ${bornAtMs}`;
    if (this.logged.get(name) === key) return;
    this.logged.set(name, key);
    const now = readClocks();
    this.log.info('The view of a primary is verified without the store.', {
      group: name,
      primary,
      term,
      replica: replica.id,
      bornAtMs,
      isLeaving,
      received: formatPosition(replica.received),
      heldTerm: replica.heldTerm,
      isViewValid: viewFreshness.isValid(now),
      viewAgeMs: wholeMilliseconds(viewFreshness.ageMs(now)),
    });
  }

  /** Handles that the store confirms the views again. */
  clear(): void {
    this.logged.clear();
  }
}
