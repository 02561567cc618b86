import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {ChangeRules} from './change-rules.js';
import {DESIGN_RULES} from './change-rules.js';
import {playLeavingHistories} from './leaving-histories.js';

/** Histories that are played. */
const HISTORIES = 2_000;

/** Rules that are broken, and the first seed of histories among which one shows it. */
const BROKEN: ReadonlyArray<{
  readonly name: string;
  readonly without: keyof ChangeRules;
  readonly firstSeed: number;
}> = [
  {
    name: 'a hold counts that a release of an earlier term may have ended',
    without: 'awaitsOtherReleases',
    firstSeed: 2_500,
  },
  {
    name: 'a hold counts that a release of the same coordinator may have ended',
    without: 'awaitsOwnReleases',
    firstSeed: 0,
  },
];

describe('a group whose replicas leave while a release may be on its way', () => {
  it('loses no acknowledged commit', () => {
    const groups = playLeavingHistories(HISTORIES, DESIGN_RULES);
    expect(groups.filter(({lost}) => lost.length > 0).length).toEqual(0);
    const changes = groups.reduce((sum, group) => sum + group.changes, 0);
    expect(changes > HISTORIES / 2).toEqual(true);
  });

  for (const {name, without, firstSeed} of BROKEN) {
    it(`loses acknowledged commits if ${name}`, () => {
      const rules = {...DESIGN_RULES, [without]: false};
      const groups = playLeavingHistories(HISTORIES, rules, firstSeed);
      const lossy = groups.filter(({lost}) => lost.length > 0);
      expect(lossy.length > 0).toEqual(true);
    });
  }
});
