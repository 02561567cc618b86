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

/** What stands as code in the first cell of each row of a section. */
function firstCells(heading: string): string[] {
  return rowsOf(heading).map(([name]) => name!);
}

/** The cells of each row of a section whose first one is code. */
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

  it('says of every setting when a change takes effect', () => {
    const said = rowsOf('Settings reference').map(cells => [
      cells[0]!,
      cells[3]!,
    ]);
    expect(Object.fromEntries(said)).toEqual({...SETTING_EFFECTS});
  });

  it('lists every metric of the catalogue and no other', () => {
    const known = Object.keys({
      ...GATEWAY_COUNTERS,
      ...GATEWAY_DURATIONS,
      ...GATEWAY_GAUGES,
    });
    expect(firstCells('Metrics')).toEqual(known);
  });
});
