import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  GATEWAY_COUNTERS,
  GATEWAY_DURATIONS,
  GATEWAY_GAUGES,
  SETTING_EFFECTS,
} from '../src/index.js';
import {settingPaths} from './support/setting-paths.js';

const PAGE = readFileSync(
  new URL('../../../../docs/GATEWAY.md', import.meta.url),
  'utf8',
);

/** Returns the first cell of each table row of a section, if it is code. */
function firstCells(heading: string): string[] {
  return rowsOf(heading).map(([name]) => name!);
}

/** Returns the cells of each table row of a section whose first cell is code. */
function rowsOf(heading: string): string[][] {
  const section = PAGE.split(`## ${heading}`)[1]?.split('\n## ')[0] ?? '';
  return [...section.matchAll(/^\| `([^`]+)` +\|(.*)\|$/gm)].map(
    ([, name, rest]) => [name!, ...rest!.split('|').map(cell => cell.trim())],
  );
}

describe('docs/GATEWAY.md', () => {
  it('lists every setting and no other', () => {
    expect(firstCells('Settings reference')).toEqual(settingPaths());
  });

  it('states for every setting when a change takes effect', () => {
    const documented = rowsOf('Settings reference').map(cells => [
      cells[0]!,
      cells[3]!,
    ]);
    expect(Object.fromEntries(documented)).toEqual({...SETTING_EFFECTS});
  });

  it('lists every metric of the catalogue and no other', () => {
    const metricNames = Object.keys({
      ...GATEWAY_COUNTERS,
      ...GATEWAY_DURATIONS,
      ...GATEWAY_GAUGES,
    });
    expect(firstCells('Metrics')).toEqual(metricNames);
  });
});
