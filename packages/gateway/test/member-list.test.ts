import {beforeEach, describe, it} from 'node:test';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {StoredItem} from '../src/index.js';
import {MEMBER_PREFIX, MemberList} from '../src/index.js';

const RECORD = {
  name: 'proxy-1',
  incarnation: 'first',
  availabilityZone: 'zone-0',
  peerAddress: '127.0.0.1:1',
  capacity: 1,
  suspects: [] as string[],
};

/** Returns a member record as an item of the store. */
function itemOf(changedFields: Partial<typeof RECORD>): StoredItem {
  const record = {...RECORD, ...changedFields};
  return {
    key: MEMBER_PREFIX + record.name,
    value: Buffer.from(JSON.stringify(record)),
    revision: 1,
    leaseId: 0,
  };
}

describe('MemberList', () => {
  let members: MemberList;
  let changes: number;

  beforeEach(() => {
    members = new MemberList(createSilentLogger());
    members.onPut(itemOf({}));
    changes = 0;
    members.changes$.subscribe(() => (changes += 1));
  });

  const cases: ReadonlyArray<
    [name: string, changedFields: Partial<typeof RECORD>, changes: number]
  > = [
    ['the same again', {}, 0],
    ['other suspects', {suspects: ['ledger']}, 0],
    ['another capacity', {capacity: 2}, 1],
    ['another start of its process', {incarnation: 'second'}, 1],
  ];
  for (const [name, changedFields, expected] of cases) {
    it(`emits ${expected} changes when a proxy publishes ${name}`, () => {
      members.onPut(itemOf(changedFields));
      expect(changes).toEqual(expected);
    });

    it(`emits ${expected} changes when a snapshot has ${name}`, () => {
      members.onSnapshot([itemOf(changedFields)]);
      expect(changes).toEqual(expected);
    });
  }
});
