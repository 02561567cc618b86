import type {Observable} from 'rxjs';
import {Subject} from 'rxjs';
import type {SettingsChange} from './settings-change.js';
import {decideSettingsChange} from './settings-change.js';
import type {GatewaySettings} from './settings-schema.js';

/** The settings that are in force, which change while the process runs. */
export class RunningSettings {
  private readonly changes = new Subject<GatewaySettings>();

  /** @param settings - What is in force at the start. */
  constructor(private settings: GatewaySettings) {}

  /** What is in force. */
  get current(): GatewaySettings {
    return this.settings;
  }

  /** Emits what is in force after each change. */
  get changes$(): Observable<GatewaySettings> {
    return this.changes;
  }

  /**
   * Takes over what can change while the process runs.
   *
   * @param file - What the settings file says, checked.
   * @returns What was taken over, and what waits for the next start.
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
