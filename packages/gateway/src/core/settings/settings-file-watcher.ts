import {statSync} from 'node:fs';
import {SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {loadSettings, PeriodicTask} from '@sapphireglade/runtime';
import type {RunningSettings} from './running-settings.js';
import type {SettingsChange} from './settings-change.js';
import {gatewaySettingsSchema} from './settings-schema.js';

/** Interval at which the file is checked for changes, in milliseconds. */
const POLL_INTERVAL_MS = 2_000;

/** Time for which signals are collected before the file is read, in milliseconds. */
export const SIGNAL_DEBOUNCE_MS = 50;

/** Dependencies and settings of the task. */
export interface SettingsFileWatcherOptions {
  /** Path of the settings file. */
  readonly path: string;
  readonly settings: RunningSettings;
  readonly log: Logger;
}

/**
 * Reads the settings file again when a signal requests it, and when the
 * modification time or the size of the file has changed.
 */
export class SettingsFileWatcher extends PeriodicTask {
  /** Modification time and size of the file when it was last read. */
  private fileStamp: string | undefined;
  /** Why the file was rejected when it was last read. */
  private lastError: string | undefined;
  private waiting = '';
  private debounceTimer: NodeJS.Timeout | undefined;
  private isReloadRequested = false;

  constructor(private readonly options: SettingsFileWatcherOptions) {
    super('settings');
  }

  /** Schedules a read of the file; one read serves all signals received before it. */
  requestReload(): void {
    this.debounceTimer ??= setTimeout(() => {
      this.debounceTimer = undefined;
      this.isReloadRequested = true;
      this.runNow();
    }, SIGNAL_DEBOUNCE_MS);
  }

  protected override runOnce(): Promise<number> {
    const isRequested = this.isReloadRequested;
    this.isReloadRequested = false;
    // Taken before the file is read, so that a later change is detected next time.
    const stamp = readFileStamp(this.options.path);
    const isUnchanged =
      stamp === this.fileStamp && this.lastError === undefined;
    this.fileStamp = stamp;
    if (isRequested || !isUnchanged) this.read(isRequested);
    return Promise.resolve(POLL_INTERVAL_MS);
  }

  protected override async onStop(): Promise<void> {
    clearTimeout(this.debounceTimer);
    await super.onStop();
  }

  /** Reads the file and applies the settings that can change now. */
  private read(isRequested: boolean): void {
    const {path, settings} = this.options;
    try {
      const file = loadSettings(path, gatewaySettingsSchema);
      const wasRefused = this.lastError !== undefined;
      this.lastError = undefined;
      this.report(settings.apply(file), isRequested || wasRefused);
    } catch (error) {
      this.refuse(error, isRequested);
    }
  }

  private report(
    {applied, waiting}: SettingsChange,
    isRequested: boolean,
  ): void {
    const {log} = this.options;
    const names = waiting.join(', ');
    const isNew = names !== this.waiting;
    this.waiting = names;
    if (applied.size > 0) {
      log.info('Settings were taken over.', {
        settings: formatSettings(applied),
      });
    }
    if (waiting.length > 0 && (isRequested || isNew)) {
      log.warn('Settings take effect at the next start.', {settings: names});
    }
    if (applied.size + waiting.length === 0 && (isRequested || isNew)) {
      log.info('The settings were read again; all of them are in force.');
    }
  }

  /** Logs once why the file cannot be used, and again when a signal requests a reload. */
  private refuse(error: unknown, isRequested: boolean): void {
    const message = formatError(error);
    const isKnown = message === this.lastError;
    this.lastError = message;
    if (isKnown && !isRequested) return;
    this.options.log.error('The settings cannot be read; the old ones stay.', {
      field: error instanceof SapphiregladeError ? error.field : undefined,
      error: message,
    });
  }
}

/** Returns the modification time and the size of a file as text. */
function readFileStamp(path: string): string {
  try {
    const {mtimeMs, size} = statSync(path);
    return `${mtimeMs} ${size}`;
  } catch {
    // The read that follows logs the error.
    return 'none';
  }
}

/** Formats settings with their values on one line. */
function formatSettings(settings: ReadonlyMap<string, unknown>): string {
  return [...settings]
    .map(([path, value]) => `${path}=${String(value)}`)
    .join(', ');
}

/** Formats the message of an error on one line. */
function formatError(error: unknown): string {
  const text = error instanceof Error ? error.message : String(error);
  return text.replaceAll(/\s*\n\s*/g, ' ');
}
