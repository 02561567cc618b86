import {isDeepStrictEqual} from 'node:util';
import {SETTING_EFFECTS, SettingEffect} from './setting-effects.js';
import type {GatewaySettings} from './settings-schema.js';

/** The effect of a changed settings file on a running process. */
export interface SettingsChange {
  /** The settings in force from now on. */
  readonly settings: GatewaySettings;
  /** The settings that are applied, with their new values, by path. */
  readonly applied: ReadonlyMap<string, unknown>;
  /** Paths of the changed settings that wait for the next start. */
  readonly waiting: readonly string[];
}

/** Settings of one nesting level by name. */
type SettingsLevel = Readonly<Record<string, unknown>>;

/**
 * Decides which settings of a file a running process applies.
 *
 * @param running - The settings in force.
 * @param file - The validated settings of the file.
 * @returns The settings in force next, and the changed ones by effect.
 */
export function decideSettingsChange(
  running: GatewaySettings,
  file: GatewaySettings,
): SettingsChange {
  const applied = new Map<string, unknown>();
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
    applied.set(path, value);
    settings = withValue(settings, names, value);
  }
  // The cast is safe, because each value comes from settings that passed the schema.
  return {settings: settings as GatewaySettings, applied, waiting};
}

/** Returns the value at a path. */
function valueAt(level: SettingsLevel, names: readonly string[]): unknown {
  return names.reduce<unknown>(
    (inner, name) => (inner as SettingsLevel | undefined)?.[name],
    level,
  );
}

/** Returns a copy of the settings with another value at a path. */
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
