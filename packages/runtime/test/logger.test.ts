import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createLoggerFactory,
  LogFormat,
  LogLevel,
  LogPart,
} from '../src/index.js';

/** The types of entries that are written at each log level. */
const WRITTEN = {
  [LogLevel.Error]: ['error'],
  [LogLevel.Warning]: ['error', 'warn'],
  [LogLevel.Information]: ['error', 'warn', 'info'],
  [LogLevel.Debug]: ['error', 'warn', 'info', 'debug'],
};

describe('createLoggerFactory', () => {
  const lines: string[] = [];
  let level: LogLevel = LogLevel.Error;
  const log = createLoggerFactory({
    get level() {
      return level;
    },
    format: LogFormat.Json,
    process: 'proxy-1',
    write: line => lines.push(line),
  })(LogPart.Process);

  for (const [name, written] of Object.entries(WRITTEN)) {
    it(`writes ${written.join(', ')} if the level is ${name}`, () => {
      level = name as LogLevel;
      log.error('It failed.');
      log.warn('It mends itself.');
      log.info('It happened.');
      log.debug('A detail.');
      const levels = lines
        .splice(0)
        .map(line => (JSON.parse(line) as {level: string}).level);
      expect(levels).toEqual(written);
    });
  }
});
