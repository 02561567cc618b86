import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import type {
  RelayResponse,
  RelayRequest,
} from '../src/core/store-relay/index.js';
import {
  StoreRelayServer,
  StoreRelayClient,
} from '../src/core/store-relay/index.js';
import type {StoredItem} from '../src/index.js';
import {StoreMirror, StorePrefixListener} from '../src/index.js';

/** Longer than two questions are apart, in milliseconds. */
const TWO_POLLS_MS = 1_400;

function item(key: string, revision: number): StoredItem {
  return {key, value: Buffer.from(`${key}@${revision}`), revision, leaseId: 0};
}

/** Keeps what it was told. */
class RecordingListener extends StorePrefixListener {
  readonly keys = new Map<string, number>();
  replacements = 0;

  override onSnapshot(items: readonly StoredItem[]): void {
    this.replacements += 1;
    this.keys.clear();
    for (const each of items) this.onPut(each);
  }

  override onPut({key, revision}: StoredItem): void {
    this.keys.set(key, revision);
  }

  override onDelete(key: string): void {
    this.keys.delete(key);
  }
}

describe('StoreMirror', () => {
  let mirror: StoreMirror;

  beforeEach(() => {
    mirror = new StoreMirror('m/');
    mirror.onSnapshot([item('m/a', 3), item('m/b', 5)]);
  });

  it('gives everything to whom nothing is known', () => {
    const {isWhole, items} = mirror.changesSince(undefined);
    expect(isWhole).toEqual(true);
    expect(items.map(({key}) => key)).toEqual(['m/a', 'm/b']);
  });

  it('gives what was written and removed since a revision', () => {
    mirror.onPut(item('m/c', 7));
    mirror.onDelete('m/a', 8);
    const changes = mirror.changesSince(6);
    expect(changes.isWhole).toEqual(false);
    expect(changes.items.map(({key}) => key)).toEqual(['m/c']);
    expect(changes.removals).toEqual([{key: 'm/a', revision: 8}]);
    expect(mirror.changesSince(8).items).toEqual([]);
  });

  it('gives everything to whom changes may be missing that it does not know', () => {
    expect(mirror.changesSince(4).isWhole).toEqual(true);
    for (let count = 0; count < 1_100; count += 1) {
      mirror.onDelete(`m/${count}`, 10 + count);
    }
    expect(mirror.changesSince(50).isWhole).toEqual(true);
    expect(mirror.changesSince(1_100).isWhole).toEqual(false);
  });
});

describe('NewsFollower', () => {
  let members: RecordingListener;
  let configuration: RecordingListener;
  let mirror: StoreMirror;
  let followed: number | undefined;
  let mayRely: boolean;
  let asked: RelayRequest[];
  let follower: StoreRelayClient;

  /** Asks the desk as a link would. */
  function ask(request: RelayRequest): Promise<RelayResponse | undefined> {
    asked.push(request);
    const revision = (): number | undefined => followed;
    const desk = new StoreRelayServer(
      {mirror, revision},
      {mirror: new StoreMirror('c'), revision},
    );
    try {
      return Promise.resolve(desk.answer(request));
    } catch (error) {
      expect(error instanceof SapphiregladeError).toEqual(true);
      expect((error as SapphiregladeError).kind).toEqual(ErrorKind.NotReady);
      return Promise.resolve(undefined);
    }
  }

  beforeEach(async () => {
    members = new RecordingListener('m/');
    configuration = new RecordingListener('c');
    mirror = new StoreMirror('m/');
    mirror.onSnapshot([item('m/a', 3)]);
    followed = 5;
    mayRely = true;
    asked = [];
    follower = new StoreRelayClient({
      canUseRelay: () => mayRely,
      sendRequest: ask,
      listeners: {members, configuration},
      log: createSilentLogger(),
    });
    await follower.start();
    await sleep(20);
  });

  afterEach(() => follower.stop(0));

  it('learns everything first, and then what changes', async () => {
    expect([...members.keys]).toEqual([['m/a', 3]]);
    expect(follower.isActive).toEqual(true);
    mirror.onPut(item('m/b', 6));
    mirror.onDelete('m/a', 7);
    followed = 7;
    await sleep(TWO_POLLS_MS);
    expect([...members.keys]).toEqual([['m/b', 6]]);
    expect(members.replacements).toEqual(1);
    expect(asked.at(-1)?.known.members).toEqual(7);
  });

  it('leaves the news to the store while nobody can tell them', async () => {
    followed = undefined;
    await sleep(TWO_POLLS_MS);
    expect(follower.isActive).toEqual(false);
  });

  it('is not active once this proxy has to follow the store itself', () => {
    mayRely = false;
    expect(follower.isActive).toEqual(false);
  });

  it('takes nothing back that a source which is behind still lists', async () => {
    const behind = new StoreMirror('m/');
    behind.onSnapshot([item('m/gone', 2), item('m/a', 3)]);
    mirror = behind;
    followed = 4;
    await sleep(TWO_POLLS_MS);
    expect([...members.keys.keys()]).toEqual(['m/a']);
  });
});
