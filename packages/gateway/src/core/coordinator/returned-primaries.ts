import type {ReplicationReport} from '@sapphireglade/decisions';
import {
  formatPosition,
  isOldPrimaryByAnotherName,
} from '@sapphireglade/decisions';
import type {RegisteredInstance} from '../directory/index.js';
import type {VersionedPrimaryRecord} from '../groups/index.js';
import type {InstanceCommand} from '../upstream/index.js';
import {CommandKind} from '../upstream/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';

/**
 * Instances that lead although they were told to follow nobody, because a hold stops
 * only replicas. A primary that crashed returns as one, perhaps by another name.
 */
export class ReturnedPrimaries {
  /** Report of an instance that leads a term which a hold of the change cannot end, if there is one. */
  leader: ReplicationReport | undefined;
  /** Name by which the old primary has returned, if it is another one than before. */
  otherName: string | undefined;

  /**
   * @param context - Dependencies of the change.
   * @param group - Name of the group.
   * @param sendToAll - Sends a command to several instances and returns the reports.
   */
  constructor(
    private readonly context: Pick<PrimaryChangeContext, 'departures' | 'log'>,
    private readonly group: string,
    private readonly sendToAll: (
      instances: readonly RegisteredInstance[],
      command: InstanceCommand,
    ) => Promise<ReplicationReport[]>,
  ) {}

  /** Recognizes the old primary if it has returned by another name. */
  recordOtherName(
    {record}: VersionedPrimaryRecord,
    reports: readonly ReplicationReport[],
  ): void {
    const returned = reports.find(each =>
      isOldPrimaryByAnotherName(record, each),
    );
    if (returned === undefined) return;
    this.otherName = returned.id;
    this.context.departures.of(this.group).recordReport(record, returned);
    this.context.log.info('The old primary has returned by another name.', {
      group: this.group,
      instance: returned.id,
      before: record.primary,
      term: record.term,
      position: formatPosition(returned.received),
    });
  }

  /**
   * Steps down the instances that still lead, and holds them.
   *
   * @param instances - The instances that were asked to be held.
   * @param reports - Their reports.
   * @param term - The term for which they are held.
   * @returns The reports of the instances that are held.
   */
  async stepDown(
    instances: readonly RegisteredInstance[],
    reports: readonly ReplicationReport[],
    term: number,
  ): Promise<ReplicationReport[]> {
    const leaders = instances.filter(({id}) =>
      reports.some(report => report.id === id && report.isPrimary),
    );
    const replicas = reports.filter(({isPrimary}) => !isPrimary);
    this.leader = undefined;
    if (leaders.length === 0) return replicas;
    await this.sendToAll(leaders, {kind: CommandKind.StepDown, term});
    const held = await this.sendToAll(leaders, {
      kind: CommandKind.HoldTerm,
      term,
    });
    [this.leader] = held
      .filter(report => report.isPrimary && report.term >= term)
      .sort((left, right) => right.term - left.term);
    return [...replicas, ...held.filter(({isPrimary}) => !isPrimary)];
  }
}
