import type {
  GroupInstance,
  PresentInstance,
  PrimaryRecord,
} from '@sapphireglade/decisions';
import {DepartedInstances, PrimaryPhase} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import type {
  InstanceDirectory,
  RegisteredInstance,
} from '../directory/index.js';
import type {DatabaseGroup, GroupRegistry} from '../groups/index.js';
import {isOutdated} from '../groups/index.js';
import {steadyNowMs} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';
import type {ControlConnections} from './control-connections.js';

/** Delay before a departed instance that still answers is asked again, in milliseconds. */
const REACHABLE_RETRY_MS = 500;

/**
 * Instances of each group that left during its current term, with what the
 * coordinator learns from the primary about the commits that they may have
 * confirmed.
 */
export class GroupDepartures {
  private readonly departed = new Map<string, DepartedInstances>();
  private readonly asking = new Set<string>();
  /** The last registration of each instance that is present or not bounded yet. */
  private readonly registrations = new Map<string, RegisteredInstance>();
  private readonly groups: DatabaseGroup[] = [];

  /**
   * @param directory - The instances.
   * @param groups - The groups whose records are observed.
   * @param control - Connections to the instances.
   * @param returnWithinMs - Returns how long an instance whose entry has lapsed
   *   may still return with its log, in milliseconds.
   */
  constructor(
    private readonly directory: InstanceDirectory,
    groups: Pick<GroupRegistry, 'onGroup'>,
    private readonly control: ControlConnections,
    private readonly returnWithinMs: () => number,
  ) {
    groups.onGroup(group => {
      this.groups.push(group);
      group.records$.subscribe(() =>
        this.update(group, directory.findByGroup(group.name)),
      );
    });
    directory.changes$.subscribe(() => this.updateAll());
  }

  /** Returns the departures of a group. */
  of(group: string): DepartedInstances {
    const known =
      this.departed.get(group) ??
      new DepartedInstances(this.returnWithinMs, instance =>
        this.directory.lastListedAtMs(instance),
      );
    this.departed.set(group, known);
    return known;
  }

  /** Forgets which replicas are held; called when the role is lost. */
  forgetHolds(): void {
    for (const departed of this.departed.values()) departed.holds.clear();
  }

  /**
   * Asks the primary of a steady group for its position if an instance has left
   * since the last question: the answer bounds what the instance confirmed. One
   * that still answers may be cut off from the store only, and may go on
   * confirming, so it is not bounded.
   */
  async boundDepartures(group: DatabaseGroup): Promise<void> {
    const record = group.storedRecord?.record;
    const canAsk =
      this.of(group.name).unbounded.length > 0 &&
      record?.phase === PrimaryPhase.Steady &&
      !this.asking.has(group.name);
    if (!canAsk || this.directory.find(record.primary) === undefined) return;
    this.asking.add(group.name);
    try {
      const isAnySilent = await this.bound(group.name, record);
      if (!isAnySilent) await sleep(REACHABLE_RETRY_MS);
    } finally {
      this.asking.delete(group.name);
    }
  }

  /**
   * Asks the instances that were gone before the term at their last addresses: one
   * that runs without an entry may follow the primary and confirm its commits.
   *
   * @param group - Name of the group.
   */
  async askEarlier(group: string): Promise<void> {
    const departed = this.of(group);
    const asked = departed.earlierDepartures.flatMap(instance => {
      const last = this.registrations.get(instance.id);
      const isLast = last?.bornAtMs === instance.bornAtMs;
      return last !== undefined && isLast && !this.isReplaced(last)
        ? [{instance, last}]
        : [];
    });
    const reports = await Promise.all(
      asked.map(({last}) =>
        this.control.sendCommand(last, {kind: CommandKind.Status}),
      ),
    );
    const answering = asked.filter((_, index) => {
      const {term} = reports[index] ?? {};
      return term !== undefined && term >= departed.currentTerm;
    });
    departed.recordAnswering(answering.map(({instance}) => instance));
  }

  /** Returns whether another start of an instance, or another one at its address, is listed. */
  private isReplaced({id, group, host, port}: RegisteredInstance): boolean {
    return this.directory
      .findByGroup(group)
      .some(
        each => each.id === id || (each.host === host && each.port === port),
      );
  }

  /**
   * Learns from a record of an earlier generation of the store which instances
   * have left, and bounds what they confirmed as in a steady group.
   *
   * @param group - Name of the group.
   * @param record - The record, whose primary was found to lead its term.
   */
  async recover(group: string, record: PrimaryRecord): Promise<void> {
    const present = this.directory.findByGroup(group).map(toPresentInstance);
    this.of(group).update(record, present, steadyNowMs());
    await this.bound(group, record);
  }

  /**
   * Asks the departed instances of a group, then its primary if one is silent.
   *
   * @returns Whether any departed instance is silent.
   */
  private async bound(
    group: string,
    {primary, term}: PrimaryRecord,
  ): Promise<boolean> {
    const departed = this.of(group);
    // A restored record may be of an earlier term, whose primary still leads it.
    if (departed.currentTerm !== term) return true;
    const gone = await this.findSilent(departed.unbounded);
    const instance = this.directory.find(primary);
    if (gone.length === 0 || instance === undefined) return gone.length > 0;
    const report = await this.control.sendCommand(instance, {
      kind: CommandKind.Status,
    });
    if (report?.isPrimary === true && report.term === term)
      departed.recordBound(gone, report.received);
    return true;
  }

  /** Returns the departed instances that do not answer at their last address. */
  private async findSilent(
    departed: readonly GroupInstance[],
  ): Promise<GroupInstance[]> {
    const isSilent = await Promise.all(
      departed.map(async ({id, bornAtMs}) => {
        const last = this.registrations.get(id);
        if (last === undefined || last.bornAtMs !== bornAtMs) return true;
        const report = await this.control.sendCommand(last, {
          kind: CommandKind.Status,
        });
        return report === undefined;
      }),
    );
    return departed.filter((_, index) => isSilent[index]);
  }

  /** Updates all groups in one pass over the directory. */
  private updateAll(): void {
    const byGroup = new Map<string, RegisteredInstance[]>();
    for (const instance of this.directory.instances) {
      const instances = byGroup.get(instance.group) ?? [];
      byGroup.set(instance.group, instances);
      instances.push(instance);
    }
    for (const group of this.groups)
      this.update(group, byGroup.get(group.name) ?? []);
    this.forgetRegistrations();
  }

  private update(
    group: DatabaseGroup,
    instances: readonly RegisteredInstance[],
  ): void {
    const stored = group.storedRecord;
    if (stored === undefined || isOutdated(stored)) return;
    const {record} = stored;
    const departed = this.of(group.name);
    departed.update(record, instances.map(toPresentInstance), steadyNowMs());
    for (const instance of instances)
      this.registrations.set(instance.id, instance);
  }

  /** Forgets the instances that are neither present nor to be bounded. */
  private forgetRegistrations(): void {
    const unbounded = new Set(
      [...this.departed.values()].flatMap(({unbounded, earlierDepartures}) =>
        [...unbounded, ...earlierDepartures].map(({id}) => id),
      ),
    );
    for (const id of this.registrations.keys()) {
      if (this.directory.find(id) === undefined && !unbounded.has(id))
        this.registrations.delete(id);
    }
  }
}

function toPresentInstance({
  id,
  bornAtMs,
  isLeaving,
  host,
  port,
}: RegisteredInstance): PresentInstance {
  return {id, bornAtMs, isLeaving, address: `${host}:${port}`};
}
