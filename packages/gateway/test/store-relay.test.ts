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
import {
  CoordinationStore,
  StoreMirror,
  StorePrefixListener,
} from '../src/index.js';

/** Longer than the interval between two requests, in milliseconds. */
const TWO_POLLS_MS = 1_400;

function item(key: string, revision: number): StoredItem {
  return {key, value: Buffer.from(`${key}@${revision}`), revision, leaseId: 0};
}

/** Records the content that it receives. */
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

  it('returns everything to a requester without a revision', () => {
    const {isWhole, items} = mirror.changesSince(undefined);
    expect(isWhole).toEqual(true);
    expect(items.map(({key}) => key)).toEqual(['m/a', 'm/b']);
  });

  it('returns the keys written and removed since a revision', () => {
    mirror.onPut(item('m/c', 7));
    mirror.onDelete('m/a', 8);
    const changes = mirror.changesSince(6);
    expect(changes.isWhole).toEqual(false);
    expect(changes.items.map(({key}) => key)).toEqual(['m/c']);
    expect(changes.removals).toEqual([{key: 'm/a', revision: 8}]);
    expect(mirror.changesSince(8).items).toEqual([]);
  });

  it('returns everything if it no longer has all changes since the revision', () => {
    expect(mirror.changesSince(4).isWhole).toEqual(true);
    for (let count = 0; count < 1_100; count += 1) {
      mirror.onDelete(`m/${count}`, 10 + count);
    }
    expect(mirror.changesSince(50).isWhole).toEqual(true);
    expect(mirror.changesSince(1_100).isWhole).toEqual(false);
  });
});

describe('StoreRelayClient', () => {
  let members: RecordingListener;
  let configuration: RecordingListener;
  let mirror: StoreMirror;
  let syncedRevision: number | undefined;
  let canUseRelay: boolean;
  let store: CoordinationStore;
  let requests: RelayRequest[];
  let client: StoreRelayClient;

  /** Sends a request to the relay server as a link would. */
  function sendRequest(
    request: RelayRequest,
  ): Promise<RelayResponse | undefined> {
    requests.push(request);
    const revision = (): number | undefined => syncedRevision;
    const server = new StoreRelayServer(
      {mirror, revision},
      {mirror: new StoreMirror('c'), revision},
      () => store.generation,
    );
    try {
      return Promise.resolve(server.answer(request));
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
    syncedRevision = 5;
    canUseRelay = true;
    store = new CoordinationStore(undefined as never, createSilentLogger());
    requests = [];
    client = new StoreRelayClient({
      store,
      canUseRelay: () => canUseRelay,
      sendRequest,
      listeners: {members, configuration},
      log: createSilentLogger(),
    });
    await client.start();
    await sleep(20);
  });

  afterEach(() => client.stop(0));

  it('receives everything first, and then only changes', async () => {
    expect([...members.keys]).toEqual([['m/a', 3]]);
    expect(client.isActive).toEqual(true);
    mirror.onPut(item('m/b', 6));
    mirror.onDelete('m/a', 7);
    syncedRevision = 7;
    await sleep(TWO_POLLS_MS);
    expect([...members.keys]).toEqual([['m/b', 6]]);
    expect(members.replacements).toEqual(1);
    expect(requests.at(-1)?.known.members).toEqual(7);
  });

  it('is not active while no other proxy can relay', async () => {
    syncedRevision = undefined;
    await sleep(TWO_POLLS_MS);
    expect(client.isActive).toEqual(false);
  });

  it('is not active once this proxy must follow the store itself', () => {
    canUseRelay = false;
    expect(client.isActive).toEqual(false);
  });

  it('does not restore a removed key from a source that is behind', async () => {
    const staleMirror = new StoreMirror('m/');
    staleMirror.onSnapshot([item('m/gone', 2), item('m/a', 3)]);
    mirror = staleMirror;
    syncedRevision = 4;
    await sleep(TWO_POLLS_MS);
    expect([...members.keys.keys()]).toEqual(['m/a']);
  });
});
