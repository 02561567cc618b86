import {directoryReadIntervalMs} from '@sapphireglade/decisions';
import type {InstanceDirectory, InstanceUsePolicy} from '../directory/index.js';
import {DirectoryUsePolicy} from '../directory/index.js';
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
    private readonly directory: InstanceDirectory,
    private readonly storeWatchers: () => StoreWatchers,
    private readonly leaveWithinMs: () => number,
  ) {
    this.usePolicy = new DirectoryUsePolicy({
      directory,
      leaveWithinMs,
      isStoreReachable: () => storeWatchers().canConfirmDirectory,
      // A read does not help against an entry that is missing.
      onUnconfirmed: () => this.refreshIfOld(),
    });
  }

  /** Reads the directory now, unless it was read as recently as an owner does. */
  refreshIfOld(): void {
    const intervalMs = directoryReadIntervalMs(this.leaveWithinMs());
    if (this.directory.ageMs >= intervalMs)
      this.storeWatchers().refreshDirectory();
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
