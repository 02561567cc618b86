import {isDeepStrictEqual} from 'node:util';
import {SETTING_EFFECTS, SettingEffect} from './setting-effects.js';
import type {GatewaySettings} from './settings-schema.js';

/** What a changed settings file means for a process that runs. */
export interface SettingsChange {
  /** What is in force from now on. */
  readonly settings: GatewaySettings;
  /** The settings that are taken over, with their values, by path. */
  readonly applied: ReadonlyMap<string, unknown>;
  /** Paths of the settings that wait for the next start. */
  readonly waiting: readonly string[];
}

/** Settings of one level by name. */
type SettingsLevel = Readonly<Record<string, unknown>>;

/**
 * Decides what of a settings file a running process takes over.
 *
 * @param running - What is in force.
 * @param file - What the file says, checked.
 * @returns What is in force next, and what differs.
 */
export function decideSettingsChange(
  running: GatewaySettings,
  file: GatewaySettings,
): SettingsChange {
  const takenOver = new Map<string, unknown>();
  const waiting: string[] = [];
  let settings: SettingsLevel = running;
  for (const [path, effect] of Object.entries(SETTING_EFFECTS)) {
    const names = path.split('.');
    const value = valueAt(file, names);
    if (isDeepStrictEqual(value, valueAt(running, names))) continue;
    if (effect === SettingEffect.AtNextStart) {
      waiting.push(path);
      continue;
    }
    takenOver.set(path, value);
    settings = withValue(settings, names, value);
  }
  // Each value comes from settings that have passed the schema.
  return {settings: settings as GatewaySettings, applied: takenOver, waiting};
}

/** The value at a path. */
function valueAt(level: SettingsLevel, names: readonly string[]): unknown {
  return names.reduce<unknown>(
    (inner, name) => (inner as SettingsLevel | undefined)?.[name],
    level,
  );
}

/** The same settings with another value at a path. */
function withValue(
  level: SettingsLevel,
  [name = '', ...rest]: readonly string[],
  value: unknown,
): SettingsLevel {
  if (rest.length === 0) return {...level, [name]: value};
  return {
    ...level,
    [name]: withValue(level[name] as SettingsLevel, rest, value),
  };
}
