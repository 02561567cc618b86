import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  createLoggerFactory,
  LogFormat,
  LogLevel,
  LogPart,
} from '../src/index.js';

const OPTIONS = {seed: 20_266, numRuns: 200};

/** Texts that callers and operators choose: any characters, with line ends. */
const TEXT = fc
  .array(
    fc.oneof(
      fc.constantFrom('\n', '\r', '\r\n', '\u2028', ' ', '=', '"', '\\'),
      fc.string({maxLength: 8}),
    ),
    {maxLength: 8},
  )
  .map(parts => parts.join(''));

describe('a line of the log', () => {
  for (const format of Object.values(LogFormat)) {
    it(`in the format "${format}" stays one line, whatever its fields hold`, () => {
      fc.assert(
        fc.property(TEXT, text => {
          const lines: string[] = [];
          const log = createLoggerFactory({
            level: LogLevel.Debug,
            format,
            process: 'front-1',
            write: line => lines.push(line),
          })(LogPart.Routing);
          log.warn('A request failed.', {request: text});
          expect(lines.length).toEqual(1);
          expect(/[\r\n]/.test(lines[0]!)).toEqual(false);
        }),
        OPTIONS,
      );
    });
  }
});
