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

/** Longer than the interval between two checks of the file, in milliseconds. */
const NEXT_CHECK_MS = 3_000;

/** Number of signals in a series. */
const SIGNALS = 200;

const TAKEN_OVER = 'Settings were taken over.';
const WAIT = 'Settings take effect at the next start.';
const IN_FORCE = 'The settings were read again; all of them are in force.';
const REFUSED = 'The settings cannot be read; the old ones stay.';

/** A logged line. */
interface Line {
  readonly level: string;
  readonly sentence: string;
  readonly fields: LogFields;
}

describe('SettingsFileWatcher', () => {
  let folder: string;
  let path: string;
  let settings: RunningSettings;
  let watcher: SettingsFileWatcher;
  let lines: Line[];

  beforeEach(async () => {
    mock.timers.enable({apis: ['setTimeout']});
    folder = mkdtempSync(join(tmpdir(), 'settings-'));
    path = join(folder, 'settings.json');
    settings = new RunningSettings(RUNNING);
    lines = [];
    const record =
      (level: string) =>
      (sentence: string, fields: LogFields = {}): void => {
        lines.push({level, sentence, fields});
      };
    watcher = new SettingsFileWatcher({
      path,
      settings,
      log: {
        error: record('error'),
        warn: record('warn'),
        info: record('info'),
        debug: record('debug'),
      },
    });
    write({});
    await watcher.start();
    await settle();
  });

  afterEach(async () => {
    await watcher.stop(0);
    mock.timers.reset();
    rmSync(folder, {recursive: true});
  });

  /** Waits until the current run of the task has ended. */
  async function settle(): Promise<void> {
    for (let turn = 0; turn < 5; turn += 1) await Promise.resolve();
  }

  /** Advances the mocked time. */
  async function advance(milliseconds: number): Promise<void> {
    mock.timers.tick(milliseconds);
    await settle();
  }

  /** Writes the running settings to the file, with some of them changed. */
  function write(changed: Partial<GatewaySettings>): void {
    writeFileSync(path, JSON.stringify({...RUNNING, ...changed}));
  }

  /** Requests a reload and waits until it is done. */
  async function signal(): Promise<void> {
    watcher.requestReload();
    await advance(SIGNAL_DEBOUNCE_MS);
  }

  /** Returns and clears the messages logged since the last call. */
  function loggedMessages(): string[] {
    return lines.splice(0).map(({sentence}) => sentence);
  }

  it('logs nothing for a file that is unchanged since the start', async () => {
    await advance(NEXT_CHECK_MS);
    expect(loggedMessages()).toEqual([]);
  });

  describe('on a signal', () => {
    it('applies what can change, and logs the new values', async () => {
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

    it('logs in one line what waits for the next start', async () => {
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

    it('logs that nothing has changed', async () => {
      await signal();
      expect(loggedMessages()).toEqual([IN_FORCE]);
    });
  });

  describe('on a series of signals', () => {
    it('reads the file once for all signals that arrived together', async () => {
      for (let count = 0; count < SIGNALS; count += 1) watcher.requestReload();
      await advance(SIGNAL_DEBOUNCE_MS);
      expect(loggedMessages()).toEqual([IN_FORCE]);
      await advance(SIGNAL_DEBOUNCE_MS);
      expect(loggedMessages()).toEqual([]);
    });

    it('has the newest file in force after the last signal', async () => {
      for (let count = 1; count <= SIGNALS; count += 1) {
        write({maximumCallers: count});
        watcher.requestReload();
        await advance(SIGNAL_DEBOUNCE_MS / 7);
      }
      await advance(SIGNAL_DEBOUNCE_MS);
      expect(settings.current.maximumCallers).toEqual(SIGNALS);
    });

    it('serves a signal that arrives right after a read', async () => {
      await signal();
      write({maximumCallers: 7});
      watcher.requestReload();
      await advance(SIGNAL_DEBOUNCE_MS);
      expect(settings.current.maximumCallers).toEqual(7);
    });
  });

  describe('without a signal', () => {
    it('applies a changed file', async () => {
      write({maximumCallers: 12_345});
      await advance(NEXT_CHECK_MS);
      expect(settings.current.maximumCallers).toEqual(12_345);
      expect(loggedMessages()).toEqual([TAKEN_OVER]);
    });

    it('logs once what waits for the next start', async () => {
      write({name: 'another'});
      await advance(NEXT_CHECK_MS);
      await advance(NEXT_CHECK_MS);
      expect(loggedMessages()).toEqual([WAIT]);
    });

    it('logs that nothing waits any more when the old file is restored', async () => {
      write({name: 'another'});
      await advance(NEXT_CHECK_MS);
      write({});
      await advance(NEXT_CHECK_MS);
      expect(loggedMessages()).toEqual([WAIT, IN_FORCE]);
    });
  });

  describe('with a file that cannot be used', () => {
    const broken: ReadonlyArray<
      [name: string, text: string, field: string | undefined, expected: string]
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
      ['is truncated', '{"name": "proxy', undefined, 'is not JSON'],
      ['is empty', '', undefined, 'is not JSON'],
    ];
    for (const [name, text, field, expected] of broken) {
      it(`keeps the old settings and logs the reason once, if it ${name}`, async () => {
        writeFileSync(path, text);
        await advance(NEXT_CHECK_MS);
        await advance(NEXT_CHECK_MS);
        expect(settings.current).toEqual(RUNNING);
        expect(lines.map(({level}) => level)).toEqual(['error']);
        const [{sentence, fields}] = lines as [Line];
        expect(sentence).toEqual(REFUSED);
        expect(fields['field']).toEqual(field);
        expect(String(fields['error']).includes(expected)).toEqual(true);
        expect(String(fields['error']).includes('\n')).toEqual(false);
      });
    }

    it('applies nothing of a file with one wrong field', async () => {
      write({stopGraceS: 27, maximumCallers: -1});
      await signal();
      expect(settings.current).toEqual(RUNNING);
      expect(loggedMessages()).toEqual([REFUSED]);
    });

    it('logs the reason again on another signal', async () => {
      write({maximumCallers: -1});
      await signal();
      await signal();
      expect(loggedMessages()).toEqual([REFUSED, REFUSED]);
    });

    it('logs a missing file once, and applies it when it is back', async () => {
      unlinkSync(path);
      await advance(NEXT_CHECK_MS);
      await advance(NEXT_CHECK_MS);
      expect(loggedMessages()).toEqual([REFUSED]);
      write({stopGraceS: 27});
      await advance(NEXT_CHECK_MS);
      expect(settings.current.stopGraceS).toEqual(27);
      expect(loggedMessages()).toEqual([TAKEN_OVER]);
    });

    it('logs that all settings are in force when the file is repaired', async () => {
      write({maximumCallers: -1});
      await signal();
      write({});
      await advance(NEXT_CHECK_MS);
      expect(loggedMessages()).toEqual([REFUSED, IN_FORCE]);
    });
  });
});
