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
      this.departed.get(group) ?? new DepartedInstances(this.returnWithinMs);
    this.departed.set(group, known);
    return known;
  }

  /** Forgets which replicas are held; called when the role is lost. */
  forgetHolds(): void {
    for (const departed of this.departed.values()) departed.forgetHolds();
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
   * Learns from a record of an earlier generation of the store which instances
   * have left, and bounds what they confirmed as in a steady group.
   *
   * @param group - Name of the group.
   * @param record - The record, whose primary was found to lead its term.
   */
  async recover(group: string, record: PrimaryRecord): Promise<void> {
    const present = this.presentAmong(this.directory.findByGroup(group));
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
    departed.update(record, this.presentAmong(instances), steadyNowMs());
    for (const instance of instances)
      this.registrations.set(instance.id, instance);
  }

  private presentAmong(
    instances: readonly RegisteredInstance[],
  ): PresentInstance[] {
    return instances.map(({id, bornAtMs, isLeaving, host, port}) => ({
      id,
      bornAtMs,
      isLeaving,
      address: `${host}:${port}`,
      isMissing: !this.directory.isRegistered(id),
    }));
  }

  /** Forgets the instances that are neither present nor to be bounded. */
  private forgetRegistrations(): void {
    const unbounded = new Set(
      [...this.departed.values()].flatMap(departed =>
        departed.unbounded.map(({id}) => id),
      ),
    );
    for (const id of this.registrations.keys()) {
      if (this.directory.find(id) === undefined && !unbounded.has(id))
        this.registrations.delete(id);
    }
  }
}
