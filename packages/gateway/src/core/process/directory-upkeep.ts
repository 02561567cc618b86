import type {InstanceListView} from '@sapphireglade/decisions';
import {directoryReadIntervalMs} from '@sapphireglade/decisions';
import type {InstanceDirectory, InstanceUsePolicy} from '../directory/index.js';
import {DirectoryUsePolicy} from '../directory/index.js';
import type {GroupRegistry} from '../groups/index.js';
import {commitsToInclude} from '../groups/index.js';
import type {StoreWatchers} from './store-watchers.js';

/** Keeps the directory recent enough to choose from it. */
export class DirectoryUpkeep {
  /** Withholds instances while the directory is too old to choose them. */
  readonly usePolicy: InstanceUsePolicy;

  /**
   * @param directory - The registered instances.
   * @param storeWatchers - Returns the watchers that read the directory.
   * @param leaveWithinMs - Returns the time within which a leaving instance must
   *   no longer receive statements, in milliseconds.
   */
  constructor(
    readonly directory: InstanceDirectory,
    private readonly storeWatchers: () => StoreWatchers,
    private readonly leaveWithinMs: () => number,
  ) {
    this.usePolicy = new DirectoryUsePolicy({
      directory,
      leaveWithinMs,
      isStoreReachable: () => this.canConfirm,
      // A read does not help against an entry that is missing.
      onUnconfirmed: () => this.refreshIfOld(),
    });
  }

  /** Whether the store answers reads of the directory, with all that instances have written. */
  get canConfirm(): boolean {
    return this.storeWatchers().canConfirmDirectory;
  }

  /**
   * Returns what this proxy knows of the instances of a group.
   *
   * @param name - Name of the group.
   * @param groups - The groups, with what this proxy has acknowledged.
   */
  viewOf(name: string, groups: GroupRegistry): InstanceListView {
    const instances = this.directory
      .findByGroup(name)
      .map(({id, bornAtMs}) => ({id, bornAtMs}));
    const {ageMs} = this.directory;
    const group = groups.find(name);
    const acknowledged = group && commitsToInclude(group);
    return {canRead: this.canConfirm, ageMs, instances, acknowledged};
  }

  /** Reads the directory now, unless it was read as recently as an owner does. */
  refreshIfOld(): void {
    this.refreshIfOlderThan(directoryReadIntervalMs(this.leaveWithinMs()));
  }

  /**
   * Reads the directory now if it is old.
   *
   * @param ageMs - The lowest age at which it is read, in milliseconds.
   */
  refreshIfOlderThan(ageMs: number): void {
    if (this.directory.ageMs >= ageMs) this.storeWatchers().refreshDirectory();
  }

  /**
   * Removes the instances that have been missing for long enough.
   *
   * @param isUrgent - Whether the directory is read at once if a removal waits
   *   for that; a change of primary may wait for the removal.
   */
  removeMissing(isUrgent: boolean): void {
    const {directoryObservedAtMs, isDirectoryStale} = this.storeWatchers();
    const awaitsResponse = this.directory.removeMissing(
      directoryObservedAtMs,
      isDirectoryStale,
    );
    if (awaitsResponse && isUrgent) this.storeWatchers().refreshDirectory();
  }
}
