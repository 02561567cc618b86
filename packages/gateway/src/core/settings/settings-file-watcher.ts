import {statSync} from 'node:fs';
import {SapphiregladeError} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {loadSettings, PeriodicTask} from '@sapphireglade/runtime';
import type {RunningSettings} from './running-settings.js';
import type {SettingsChange} from './settings-change.js';
import {gatewaySettingsSchema} from './settings-schema.js';

/** How often it is looked whether the file has changed, in milliseconds. */
const POLL_INTERVAL_MS = 2_000;

/** For how long signals are gathered before the file is read, in milliseconds. */
export const SIGNAL_DEBOUNCE_MS = 50;

/** What the task needs. */
export interface SettingsFileWatcherOptions {
  /** Path of the settings file. */
  readonly path: string;
  readonly settings: RunningSettings;
  readonly log: Logger;
}

/**
 * Follows the settings file, when a signal says that it has changed and when its
 * time of change or its size shows it.
 */
export class SettingsFileWatcher extends PeriodicTask {
  /** Time of change and size as they were when the file was last read. */
  private fileStamp: string | undefined;
  /** Why the file as it was last read was refused. */
  private lastError: string | undefined;
  private waiting = '';
  private debounceTimer: NodeJS.Timeout | undefined;
  private isReloadRequested = false;

  constructor(private readonly options: SettingsFileWatcherOptions) {
    super('settings');
  }

  /** Reads the file soon; one reading answers all signals that came before it. */
  requestReload(): void {
    this.debounceTimer ??= setTimeout(() => {
      this.debounceTimer = undefined;
      this.isReloadRequested = true;
      this.runNow();
    }, SIGNAL_DEBOUNCE_MS);
  }

  protected override runOnce(): Promise<number> {
    const isAsked = this.isReloadRequested;
    this.isReloadRequested = false;
    // Taken before the file is read, so that a later change shows next time.
    const stamp = readFileStamp(this.options.path);
    const isSame = stamp === this.fileStamp && this.lastError === undefined;
    this.fileStamp = stamp;
    if (isAsked || !isSame) this.read(isAsked);
    return Promise.resolve(POLL_INTERVAL_MS);
  }

  protected override async onStop(): Promise<void> {
    clearTimeout(this.debounceTimer);
    await super.onStop();
  }

  /** Reads the file and takes over what can be. */
  private read(isAsked: boolean): void {
    const {path, settings} = this.options;
    try {
      const file = loadSettings(path, gatewaySettingsSchema);
      const wasRefused = this.lastError !== undefined;
      this.lastError = undefined;
      this.report(settings.apply(file), isAsked || wasRefused);
    } catch (error) {
      this.refuse(error, isAsked);
    }
  }

  private report(
    {applied: takenOver, waiting}: SettingsChange,
    isAsked: boolean,
  ): void {
    const {log} = this.options;
    const names = waiting.join(', ');
    const isNew = names !== this.waiting;
    this.waiting = names;
    if (takenOver.size > 0) {
      log.info('Settings were taken over.', {
        settings: formatSettings(takenOver),
      });
    }
    if (waiting.length > 0 && (isAsked || isNew)) {
      log.warn('Settings take effect at the next start.', {settings: names});
    }
    if (takenOver.size + waiting.length === 0 && (isAsked || isNew)) {
      log.info('The settings were read again; all of them are in force.');
    }
  }

  /** Says once why the file cannot be used, and again when asked by a signal. */
  private refuse(error: unknown, isAsked: boolean): void {
    const complaint = formatError(error);
    const isKnown = complaint === this.lastError;
    this.lastError = complaint;
    if (isKnown && !isAsked) return;
    this.options.log.error('The settings cannot be read; the old ones stay.', {
      field: error instanceof SapphiregladeError ? error.field : undefined,
      error: complaint,
    });
  }
}

/** Time of change and size of a file. */
function readFileStamp(path: string): string {
  try {
    const {mtimeMs, size} = statSync(path);
    return `${mtimeMs} ${size}`;
  } catch {
    // The reading that follows logs why.
    return 'none';
  }
}

/** Settings with their values, on one line. */
function formatSettings(settings: ReadonlyMap<string, unknown>): string {
  return [...settings]
    .map(([path, value]) => `${path}=${String(value)}`)
    .join(', ');
}

/** What is wrong, on one line. */
function formatError(error: unknown): string {
  const text = error instanceof Error ? error.message : String(error);
  return text.replaceAll(/\s*\n\s*/g, ' ');
}
