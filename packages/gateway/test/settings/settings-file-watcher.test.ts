import {mkdtempSync, rmSync, unlinkSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, beforeEach, describe, it, mock} from 'node:test';
import type {LogFields} from '@sapphireglade/runtime';
import {LogLevel} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {GatewaySettings} from '../../src/index.js';
import {
  SIGNAL_DEBOUNCE_MS,
  RunningSettings,
  SettingsFileWatcher,
} from '../../src/index.js';
import {settingsOf} from '../support/memory-fleet.js';

const RUNNING = settingsOf('proxy-0');

/** Longer than two looks at the file are apart, in milliseconds. */
const NEXT_LOOK_MS = 3_000;

/** Signals of one series. */
const SIGNALS = 200;

const TAKEN_OVER = 'Settings were taken over.';
const WAIT = 'Settings take effect at the next start.';
const IN_FORCE = 'The settings were read again; all of them are in force.';
const REFUSED = 'The settings cannot be read; the old ones stay.';

/** A line of the log. */
interface Line {
  readonly level: string;
  readonly sentence: string;
  readonly fields: LogFields;
}

describe('SettingsFollower', () => {
  let folder: string;
  let path: string;
  let settings: RunningSettings;
  let follower: SettingsFileWatcher;
  let lines: Line[];

  beforeEach(async () => {
    mock.timers.enable({apis: ['setTimeout']});
    folder = mkdtempSync(join(tmpdir(), 'settings-'));
    path = join(folder, 'settings.json');
    settings = new RunningSettings(RUNNING);
    lines = [];
    const keep =
      (level: string) =>
      (sentence: string, fields: LogFields = {}): void => {
        lines.push({level, sentence, fields});
      };
    follower = new SettingsFileWatcher({
      path,
      settings,
      log: {
        error: keep('error'),
        warn: keep('warn'),
        info: keep('info'),
        debug: keep('debug'),
      },
    });
    write({});
    await follower.start();
    await settle();
  });

  afterEach(async () => {
    await follower.stop(0);
    mock.timers.reset();
    rmSync(folder, {recursive: true});
  });

  /** Lets the turn of the task end. */
  async function settle(): Promise<void> {
    for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
  }

  /** Lets time pass. */
  async function pass(milliseconds: number): Promise<void> {
    mock.timers.tick(milliseconds);
    await settle();
  }

  /** Writes the settings that run, with some of them changed. */
  function write(changed: Partial<GatewaySettings>): void {
    writeFileSync(path, JSON.stringify({...RUNNING, ...changed}));
  }

  /** Signals and waits until it is answered. */
  async function signal(): Promise<void> {
    follower.requestReload();
    await pass(SIGNAL_DEBOUNCE_MS);
  }

  /** What was said since the last time. */
  function said(): string[] {
    return lines.splice(0).map(({sentence}) => sentence);
  }

  it('says nothing of a file that is as it was at the start', async () => {
    await pass(NEXT_LOOK_MS);
    expect(said()).toEqual([]);
  });

  describe('on a signal', () => {
    it('takes over what can change, with the new values in the line', async () => {
      write({stopGraceS: 27, logLevel: LogLevel.Debug});
      await signal();
      expect(settings.current.stopGraceS).toEqual(27);
      expect(settings.current.logLevel).toEqual(LogLevel.Debug);
      expect(lines).toEqual([
        {
          level: 'info',
          sentence: TAKEN_OVER,
          fields: {settings: 'stopGraceS=27, logLevel=debug'},
        },
      ]);
    });

    it('says in one line what waits for the next start', async () => {
      write({name: 'other', availabilityZone: 'zone-1', maximumCallers: 5});
      await signal();
      expect(settings.current).toEqual({...RUNNING, maximumCallers: 5});
      expect(lines.slice(1)).toEqual([
        {
          level: 'warn',
          sentence: WAIT,
          fields: {settings: 'name, availabilityZone'},
        },
      ]);
    });

    it('says that nothing has changed', async () => {
      await signal();
      expect(said()).toEqual([IN_FORCE]);
    });
  });

  describe('on a series of signals', () => {
    it('reads the file once for all that came together', async () => {
      for (let count = 0; count < SIGNALS; count += 1) follower.requestReload();
      await pass(SIGNAL_DEBOUNCE_MS);
      expect(said()).toEqual([IN_FORCE]);
      await pass(SIGNAL_DEBOUNCE_MS);
      expect(said()).toEqual([]);
    });

    it('has the newest file in force after the last one', async () => {
      for (let count = 1; count <= SIGNALS; count += 1) {
        write({maximumCallers: count});
        follower.requestReload();
        await pass(SIGNAL_DEBOUNCE_MS / 7);
      }
      await pass(SIGNAL_DEBOUNCE_MS);
      expect(settings.current.maximumCallers).toEqual(SIGNALS);
    });

    it('answers a signal that comes right after a reading', async () => {
      await signal();
      write({maximumCallers: 7});
      follower.requestReload();
      await pass(SIGNAL_DEBOUNCE_MS);
      expect(settings.current.maximumCallers).toEqual(7);
    });
  });

  describe('without a signal', () => {
    it('takes a changed file over', async () => {
      write({maximumCallers: 12_345});
      await pass(NEXT_LOOK_MS);
      expect(settings.current.maximumCallers).toEqual(12_345);
      expect(said()).toEqual([TAKEN_OVER]);
    });

    it('says once what waits for the next start', async () => {
      write({name: 'another'});
      await pass(NEXT_LOOK_MS);
      await pass(NEXT_LOOK_MS);
      expect(said()).toEqual([WAIT]);
    });

    it('says that nothing waits any more when the old file is back', async () => {
      write({name: 'another'});
      await pass(NEXT_LOOK_MS);
      write({});
      await pass(NEXT_LOOK_MS);
      expect(said()).toEqual([WAIT, IN_FORCE]);
    });
  });

  describe('with a file that cannot be used', () => {
    const broken: ReadonlyArray<
      [name: string, text: string, field: string | undefined, told: string]
    > = [
      [
        'has a wrong value',
        JSON.stringify({...RUNNING, maximumCallers: -1}),
        'maximumCallers',
        'maximumCallers: ',
      ],
      [
        'has a wrong value further in',
        JSON.stringify({...RUNNING, store: {address: 'nowhere'}}),
        'store.address',
        'store.address: must be HOST:PORT',
      ],
      [
        'has an unknown field',
        JSON.stringify({...RUNNING, colour: 'blue'}),
        '',
        '"colour"',
      ],
      ['breaks off', '{"name": "proxy', undefined, 'is not JSON'],
      ['is empty', '', undefined, 'is not JSON'],
    ];
    for (const [name, text, field, told] of broken) {
      it(`keeps the old settings and says once why, if it ${name}`, async () => {
        writeFileSync(path, text);
        await pass(NEXT_LOOK_MS);
        await pass(NEXT_LOOK_MS);
        expect(settings.current).toEqual(RUNNING);
        expect(lines.map(({level}) => level)).toEqual(['error']);
        const [{sentence, fields}] = lines as [Line];
        expect(sentence).toEqual(REFUSED);
        expect(fields['field']).toEqual(field);
        expect(String(fields['error']).includes(told)).toEqual(true);
        expect(String(fields['error']).includes('\n')).toEqual(false);
      });
    }

    it('takes over nothing of a file with one wrong field', async () => {
      write({stopGraceS: 27, maximumCallers: -1});
      await signal();
      expect(settings.current).toEqual(RUNNING);
      expect(said()).toEqual([REFUSED]);
    });

    it('says why again when it is signalled again', async () => {
      write({maximumCallers: -1});
      await signal();
      await signal();
      expect(said()).toEqual([REFUSED, REFUSED]);
    });

    it('says once that there is none, and goes on when it is back', async () => {
      unlinkSync(path);
      await pass(NEXT_LOOK_MS);
      await pass(NEXT_LOOK_MS);
      expect(said()).toEqual([REFUSED]);
      write({stopGraceS: 27});
      await pass(NEXT_LOOK_MS);
      expect(settings.current.stopGraceS).toEqual(27);
      expect(said()).toEqual([TAKEN_OVER]);
    });

    it('says that all is well when the file is mended', async () => {
      write({maximumCallers: -1});
      await signal();
      write({});
      await pass(NEXT_LOOK_MS);
      expect(said()).toEqual([REFUSED, IN_FORCE]);
    });
  });
});
