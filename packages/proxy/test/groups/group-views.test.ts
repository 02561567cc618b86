import {describe, it} from 'node:test';
import type {
  GroupResource,
  GroupView,
  VoterSet,
} from '@sapphireglade/decisions';
import {expect} from 'earl';
import {GroupViews} from '../../src/core/groups/index.js';

const TERM = 4;
const FORMER = ['ledger-1', 'ledger-2', 'ledger-3'];
const REPLACED = ['ledger-1', 'ledger-2', 'ledger-4'];
const DECLARED = ['ledger-1', 'ledger-5'];

const GROUP = {
  name: 'ledger',
  instances: DECLARED.map(name => ({name})),
} as unknown as GroupResource;

function viewOf(term: number, instances?: readonly string[]): GroupView {
  const voterSets: VoterSet[] | undefined = instances && [{term, instances}];
  const own = {group: 'ledger', term, primary: 'ledger-1', termStarts: []};
  return {...own, voterSets};
}

describe('GroupViews', () => {
  it('names the voters of a write whose term has just ended', () => {
    const views = new GroupViews();
    views.applyIfNewer(viewOf(TERM, FORMER));
    views.applyIfNewer(viewOf(TERM + 1, REPLACED));
    expect(views.votersOf(GROUP, TERM)).toEqual(FORMER);
    expect(views.votersOf(GROUP, TERM + 1)).toEqual(REPLACED);
    expect(views.votersOf(GROUP, TERM + 2)).toEqual(undefined);
  });

  it('waits for the voters of a term that only an instance has reported', async () => {
    const views = new GroupViews();
    views.applyIfNewer(viewOf(TERM, FORMER));
    const waiting = views.waitForVoters(GROUP, TERM + 1, 1_000);
    views.applyIfNewer(viewOf(TERM + 1, REPLACED));
    expect(await waiting).toEqual(REPLACED);
    expect(await views.waitForVoters(GROUP, TERM + 2, 1)).toEqual(undefined);
  });

  it('adds the voters to a view of the same term that lacks them', () => {
    const views = new GroupViews();
    views.applyIfNewer(viewOf(TERM));
    expect(views.votersOf(GROUP, TERM)).toEqual(DECLARED);
    expect(views.applyIfNewer(viewOf(TERM, FORMER))).toEqual(true);
    expect(views.applyIfNewer(viewOf(TERM))).toEqual(false);
    expect(views.votersOf(GROUP, TERM)).toEqual(FORMER);
  });
});
