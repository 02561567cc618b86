import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  allowedConnections,
  EMPTY_SHARE_RECORD,
  grantedConnections,
  planShareChange,
} from '../../src/index.js';

const SELF = {holder: 'front-1', boot: 'front-1-a'};

describe('shares of an instance that is named like a member of every object', () => {
  // Names of instances have lower-case letters, digits and hyphens only.
  for (const instance of ['constructor', 'one']) {
    it(`are granted to "${instance}"`, () => {
      expect(grantedConnections(EMPTY_SHARE_RECORD, instance)).toEqual(0);
      expect(allowedConnections(EMPTY_SHARE_RECORD, SELF, instance)).toEqual(0);
      const record = planShareChange(
        EMPTY_SHARE_RECORD,
        SELF,
        [{instance, limit: 10, size: 5, openConnections: 0}],
        {hasRunEnded: () => false, countConnections: () => undefined},
        'w1',
      );
      expect(allowedConnections(record!, SELF, instance)).toEqual(5);
    });
  }
});
