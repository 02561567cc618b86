import type {LogPosition} from '@sapphireglade/decisions';
import {comparePositions, higherPosition} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import {steadyNowMs} from '../time/index.js';
import type {DatabaseGroup} from './database-group.js';
import {fetchStandingReport} from './fetch-replication-report.js';
import type {GroupMember} from './group-member.js';
import {isStandingMember, mayVouch} from './view-witnesses.js';

/** Minimum time between two queries of a group, in milliseconds; a query takes a slot of an instance. */
const MINIMUM_INTERVAL_MS = 20;

/**
 * What is known to lie on a replica that has run since the store last confirmed
 * the record.
 *
 * Any instance confirms commits, also one that nobody lists. While the store does
 * not confirm a view, nobody else learns what its proxy acknowledges, so a commit
 * has to lie on a replica that a change of primary asks.
 */
export class ReplicaWitness {
  private received: LogPosition | undefined;
  private running: Promise<void> | undefined;
  private askedAtMs = -Infinity;
  /** Whether the first replica lacked a commit, so that all are queried. */
  private needsAll = false;

  /** @param group - The group. */
  constructor(private readonly group: DatabaseGroup) {}

  /** Returns whether such a replica has received a position. */
  has(position: LogPosition | undefined): boolean {
    return (
      position !== undefined &&
      this.received !== undefined &&
      this.received.term === position.term &&
      comparePositions(this.received, position) >= 0
    );
  }

  /** Queries replicas; concurrent requests share one query. */
  refresh(): Promise<void> {
    this.running ??= this.query().finally(() => {
      this.running = undefined;
    });
    return this.running;
  }

  private async query(): Promise<void> {
    const waitMs = this.askedAtMs + MINIMUM_INTERVAL_MS - steadyNowMs();
    if (waitMs > 0) await sleep(waitMs);
    this.askedAtMs = steadyNowMs();
    const {record} = this.group.record ?? {};
    const replicas = [...this.group.members.values()].filter(
      member =>
        member.instance.id !== record?.primary &&
        isStandingMember(this.group, member),
    );
    const asked = this.needsAll ? replicas : replicas.slice(0, 1);
    const before = this.received;
    await Promise.all(asked.map(member => this.ask(member, record?.term)));
    this.needsAll = this.received === before;
  }

  private async ask(
    {pool}: GroupMember,
    term: number | undefined,
  ): Promise<void> {
    const answer = await fetchStandingReport(pool);
    if (answer === undefined || !mayVouch(this.group, answer)) return;
    const {report} = answer;
    if (report.isPrimary || report.term !== term) return;
    this.received = higherPosition(this.received, report.received);
  }
}
