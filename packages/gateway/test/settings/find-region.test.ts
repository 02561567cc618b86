import {describe, it} from 'node:test';
import {expect} from 'earl';
import {findRegion} from '../../src/index.js';

describe('findRegion', () => {
  const regions = JSON.parse('{"zone-1": "east"}') as Record<string, string>;

  it('returns the region of a zone', () => {
    expect(findRegion(regions, 'zone-1')).toEqual('east');
  });

  for (const zone of ['zone-2', 'constructor', 'toString', '__proto__']) {
    it(`takes the zone "${zone}", which is in no region, for a region`, () => {
      expect(findRegion(regions, zone)).toEqual(zone);
    });
  }
});
