import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';
import type {SettingsChange} from './settings-change.js';
import {decideSettingsChange} from './settings-change.js';
import type {GatewaySettings} from './settings-schema.js';

/** The settings in force, some of which may change while the process runs. */
export class RunningSettings {
  private readonly changes = new Subject<GatewaySettings>();

  /** @param settings - The settings in force at the start. */
  constructor(private settings: GatewaySettings) {}

  /** The settings in force. */
  get current(): GatewaySettings {
    return this.settings;
  }

  /** Emits the settings in force after each change. */
  get changes$(): Observable<GatewaySettings> {
    return this.changes;
  }

  /**
   * Applies the settings that can change while the process runs.
   *
   * @param file - The validated settings of the file.
   * @returns The settings that were applied, and those that wait for the next start.
   */
  apply(file: GatewaySettings): SettingsChange {
    const change = decideSettingsChange(this.settings, file);
    if (change.applied.size > 0) {
      this.settings = change.settings;
      this.changes.next(change.settings);
    }
    return change;
  }
}
