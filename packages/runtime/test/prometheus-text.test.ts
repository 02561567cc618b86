import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  createSeriesKey,
  formatLabels,
} from '../src/core/metrics/prometheus-text.js';

const OPTIONS = {seed: 20_265, numRuns: 500};

const NAMES = ['group', 'instance'];

/** Generates names with characters that the text format or the key gives a meaning. */
const value = fc
  .array(fc.constantFrom('a', '\0', '"', '\\', '\n', '\r', ',', '=', 'é'), {
    maxLength: 5,
  })
  .map(parts => parts.join(''));

/** Reads the labels of one line back. */
function parseLabels(text: string): Array<[name: string, value: string]> {
  const labels = [...text.matchAll(/(\w+)="((?:[^"\\\n]|\\["\\n])*)"(,|$)/gy)];
  expect(labels.map(([whole]) => whole).join('')).toEqual(text);
  return labels.map(([, name = '', escaped = '']) => [
    name,
    escaped.replace(/\\(.)/g, (_, letter) => (letter === 'n' ? '\n' : letter)),
  ]);
}

describe('the labels of a series', () => {
  it('keep their places, whatever the names in them hold', () => {
    fc.assert(
      fc.property(value, value, (group, instance) => {
        const key = createSeriesKey(NAMES, {group, instance});
        const labels = parseLabels(formatLabels(NAMES, key));
        // A zero byte is shown by the character for unknown ones.
        const shown = [group, instance].map(each =>
          each.replaceAll('\0', '\ufffd'),
        );
        expect(labels).toEqual([
          ['group', shown[0]!],
          ['instance', shown[1]!],
        ]);
      }),
      OPTIONS,
    );
  });
});
