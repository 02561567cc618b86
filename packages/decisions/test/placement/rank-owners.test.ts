import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {GroupResource} from '../../src/index.js';
import {orderByHealth, rankNodes, rankOwners} from '../../src/index.js';

const ZONES = ['lhr-depot', 'rwp-depot', 'khi-depot'];
const REGIONS: Readonly<Record<string, string>> = {
  'lhr-depot': 'punjab',
  'rwp-depot': 'punjab',
  'khi-depot': 'sindh',
};
const NODES = ZONES.flatMap(zone =>
  [1, 2, 3].map(number => {
    return {name: `${zone}-${number}`, zone, region: REGIONS[zone]!};
  }),
);
const GROUP: GroupResource = {
  kind: 'group',
  name: 'hire-ledger-1',
  instances: ZONES.map(zone => ({
    name: `${zone}-a`,
    zone,
    address: '127.0.0.1',
    port: 7000,
    slots: 3,
    connectionLimit: 20,
    state: 'active',
  })),
  allowedAgeMs: 1_000,
};

describe('rankOwners', () => {
  it('prefers the own zone, then the own region, then the paid link', () => {
    const owners = rankOwners(GROUP, NODES, {
      zone: 'rwp-depot',
      region: 'punjab',
    });
    const zones = ['rwp-depot', 'lhr-depot', 'khi-depot'];
    const leadOwners = zones.map(zone => rankedIn(zone)[0]!);
    const secondRanked = zones.map(zone => rankedIn(zone)[1]!);
    expect(owners).toEqual([...leadOwners, ...secondRanked]);
  });

  it('starts with another region if no owner of the own one is alive', () => {
    const liveNodes = NODES.filter(({region}) => region === 'sindh');
    const entry = {zone: 'rwp-depot', region: 'punjab'};
    expect(rankOwners(GROUP, liveNodes, entry)).toEqual(
      rankedIn('khi-depot').slice(0, 2),
    );
  });
});

describe('orderByHealth', () => {
  it('puts avoided owners last, those with an open link first among them', () => {
    const health = new Map([
      ['a', {isLinkOpen: false, avoidUntilMs: 20}],
      ['b', {isLinkOpen: true, avoidUntilMs: 20}],
      ['c', {isLinkOpen: false, avoidUntilMs: 5}],
    ]);
    const order = orderByHealth(['a', 'b', 'c'], name => health.get(name)!, 10);
    expect(order).toEqual(['c', 'b', 'a']);
  });
});

function rankedIn(zone: string): string[] {
  const names = NODES.filter(node => node.zone === zone).map(({name}) => name);
  return rankNodes(GROUP.name, names);
}
