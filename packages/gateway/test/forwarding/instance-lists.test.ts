import type {InstanceListView} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {MemberList} from '../../src/index.js';
import {LinkedProxy, publish} from '../support/linked-proxy.js';

const GROUP = 'ledger';

/** Longer than an answer over a loopback link takes, in milliseconds. */
const TIMEOUT_MS = 2_000;

/** What the owner that answers knows. */
const VIEW: InstanceListView = {
  canRead: false,
  ageMs: 12,
  instances: [
    {id: 'ledger-0', bornAtMs: 5},
    {id: 'ledger-1', bornAtMs: undefined},
  ],
};

describe('ForwardingService.requestInstanceLists', () => {
  let self: LinkedProxy;
  let owner: LinkedProxy;
  let stopped: LinkedProxy;
  let owners: readonly string[];

  beforeEach(async () => {
    const members = new MemberList(createSilentLogger());
    [self, owner, stopped] = ['self', 'owner', 'stopped'].map(
      name => new LinkedProxy(name, members, () => owners),
    ) as [LinkedProxy, LinkedProxy, LinkedProxy];
    owner.instanceList = VIEW;
    for (const proxy of [self, owner, stopped]) {
      await proxy.service.start();
      publish(members, proxy);
    }
    await stopped.service.stop();
  });

  afterEach(async () => {
    await self.service.stop();
    await owner.service.stop();
  });

  function request(): Promise<Array<InstanceListView | undefined>> {
    return self.service.requestInstanceLists(GROUP, TIMEOUT_MS);
  }

  it('returns what the other owners know', async () => {
    owners = ['self', 'owner'];
    expect(await request()).toEqual([VIEW]);
  });

  it('returns up to where an owner has acknowledged commits', async () => {
    owners = ['self', 'owner'];
    const position = {term: 2, position: 7};
    for (const acknowledged of [
      {position, isComplete: true},
      {position: undefined, isComplete: false},
    ]) {
      owner.instanceList = {...VIEW, acknowledged};
      expect(await request()).toEqual([{...VIEW, acknowledged}]);
    }
  });

  it('returns nothing for owners that do not answer or are not listed', async () => {
    owners = ['owner', 'stopped', 'unknown'];
    expect(await request()).toEqual([VIEW, undefined, undefined]);
  });
});
