import {describe, it} from 'node:test';
import {LogLevel} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {GatewaySettings} from '../../src/index.js';
import {
  decideSettingsChange,
  RunningSettings,
  SETTING_EFFECTS,
  SettingEffect,
} from '../../src/index.js';
import {settingsOf} from '../support/memory-fleet.js';
import {settingPaths} from '../support/setting-paths.js';

const RUNNING = settingsOf('proxy-0');

/** Sets each setting to another value. */
const OTHERS: Readonly<Record<string, (settings: GatewaySettings) => void>> = {
  name: settings => (settings.name = 'other'),
  availabilityZone: settings => (settings.availabilityZone = 'zone-1'),
  regions: settings => (settings.regions['zone-0'] = 'west'),
  'listen.callers': ({listen}) => (listen.callers = 'other:1'),
  'listen.readiness': ({listen}) => (listen.readiness = 'other:1'),
  'listen.peers': ({listen}) => (listen.peers = 'other:1'),
  'listen.metrics': ({listen}) => (listen.metrics = 'other:1'),
  'capacity.processorShare': ({capacity}) => (capacity.processorShare = 0.5),
  'capacity.processorCores': ({capacity}) => (capacity.processorCores = 2),
  'capacity.linkMbps': ({capacity}) => (capacity.linkMbps = 7),
  'capacity.memoryMb': ({capacity}) => (capacity.memoryMb = 7),
  'store.address': ({store}) => (store.address = 'other:1'),
  'promotion.address': ({promotion}) => (promotion.address = 'other:1'),
  configurationWithinMs: settings => (settings.configurationWithinMs = 7),
  leaveWithinMs: settings => (settings.leaveWithinMs = 7),
  instanceReturnWithinMs: settings => (settings.instanceReturnWithinMs = 7),
  maximumCallers: settings => (settings.maximumCallers = 7),
  stopGraceS: settings => (settings.stopGraceS = 7),
  logLevel: settings => (settings.logLevel = LogLevel.Debug),
};

/** Returns the running settings with some of them changed. */
function fileWith(paths: readonly string[]): GatewaySettings {
  const file = structuredClone(RUNNING);
  for (const path of paths) OTHERS[path]!(file);
  return file;
}

/** Returns the paths of the settings with one effect. */
function pathsWith(effect: SettingEffect): string[] {
  return settingPaths().filter(path => SETTING_EFFECTS[path] === effect);
}

describe('SETTING_EFFECTS', () => {
  it('has one row for each setting of the schema', () => {
    expect(Object.keys(SETTING_EFFECTS)).toEqual(settingPaths());
  });
});

describe('decideSettingsChange', () => {
  it('finds no change in a file with the same settings', () => {
    const change = decideSettingsChange(RUNNING, fileWith([]));
    expect(change.settings).toEqual(RUNNING);
    expect(change.applied.size).toEqual(0);
    expect(change.waiting).toEqual([]);
  });

  describe('with one setting changed', () => {
    for (const path of pathsWith(SettingEffect.WhileRunning)) {
      it(`applies ${path} and nothing else`, () => {
        const file = fileWith([path]);
        const change = decideSettingsChange(RUNNING, file);
        expect([...change.applied.keys()]).toEqual([path]);
        expect(change.waiting).toEqual([]);
        expect(change.settings).toEqual(file);
      });
    }

    for (const path of pathsWith(SettingEffect.AtNextStart)) {
      it(`lets ${path} wait for the next start`, () => {
        const change = decideSettingsChange(RUNNING, fileWith([path]));
        expect(change.applied.size).toEqual(0);
        expect(change.waiting).toEqual([path]);
        expect(change.settings).toEqual(RUNNING);
      });
    }
  });

  it('separates applied from waiting settings if everything changed', () => {
    const change = decideSettingsChange(RUNNING, fileWith(settingPaths()));
    const applied = pathsWith(SettingEffect.WhileRunning);
    expect([...change.applied.keys()]).toEqual(applied);
    expect(change.waiting).toEqual(pathsWith(SettingEffect.AtNextStart));
    expect(change.settings).toEqual(fileWith(applied));
  });

  it('does not modify the running settings', () => {
    const before = structuredClone(RUNNING);
    decideSettingsChange(RUNNING, fileWith(settingPaths()));
    expect(RUNNING).toEqual(before);
  });

  it('stops waiting for a setting once the file has the old value again', () => {
    const {settings} = decideSettingsChange(RUNNING, fileWith(['name']));
    expect(decideSettingsChange(settings, RUNNING).waiting).toEqual([]);
  });
});

describe('RunningSettings', () => {
  it('emits applied settings, and not those that wait', () => {
    const settings = new RunningSettings(RUNNING);
    const emitted: GatewaySettings[] = [];
    settings.changes$.subscribe(next => emitted.push(next));
    settings.apply(fileWith(['name']));
    expect(emitted).toEqual([]);
    settings.apply(fileWith(['name', 'stopGraceS']));
    expect(emitted).toEqual([fileWith(['stopGraceS'])]);
    expect(settings.current).toEqual(fileWith(['stopGraceS']));
  });
});
