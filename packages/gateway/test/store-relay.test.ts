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

/** Time within which a configuration must be in force, in milliseconds. */
const WITHIN_MS = 3_000;

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
  /** Age of the configuration at the relaying proxy, in milliseconds. */
  let ageMs: () => number;
  let events: string[];
  let requests: RelayRequest[];
  let answer: (request: RelayRequest) => Promise<RelayResponse | undefined>;
  let client: StoreRelayClient;

  /** Sends a request to the relay server as a link would. */
  function sendRequest(
    request: RelayRequest,
  ): Promise<RelayResponse | undefined> {
    requests.push(request);
    const revision = (): number | undefined => syncedRevision;
    const server = new StoreRelayServer(
      {mirror, revision, ageMs: () => 0},
      {mirror: new StoreMirror('c'), revision, ageMs: () => ageMs()},
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
    ageMs = () => 0;
    events = [];
    store = new CoordinationStore(undefined as never, createSilentLogger());
    requests = [];
    answer = sendRequest;
    client = new StoreRelayClient({
      store,
      canUseRelay: () => canUseRelay,
      configurationWithinMs: () => WITHIN_MS,
      sendRequest: request => answer(request),
      changeSource: () => events.push('change source'),
      onFallBack: () => events.push('fall back'),
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

  describe('beside a source that has lost the store', () => {
    /** Sets the time up to which the source has read the store. */
    function confirmLast(atMs: number): void {
      ageMs = () => performance.now() - atMs;
    }

    /** Waits until relayed content is no longer used, for twice the limit at most; returns the time that this took, in milliseconds. */
    async function waitUntilInactive(): Promise<number> {
      const beganAtMs = performance.now();
      const elapsedMs = (): number => performance.now() - beganAtMs;
      while (client.isActive && elapsedMs() < 2 * WITHIN_MS) await sleep(5);
      return elapsedMs();
    }

    // Guards against configurations that arrive late, because the proxy that relays them has lost the store.
    it('follows the store directly before the configuration is too old', async () => {
      confirmLast(performance.now());
      expect((await waitUntilInactive()) < WITHIN_MS).toEqual(true);
      expect(events).toEqual(['change source', 'fall back']);
    });

    it('does so although the source does not answer any more', async () => {
      confirmLast(performance.now());
      await sleep(TWO_POLLS_MS);
      answer = () => new Promise(() => undefined);
      await waitUntilInactive();
      expect(events).toEqual(['change source', 'fall back']);
    });

    it('does not return to it while its content is old', async () => {
      confirmLast(performance.now());
      await waitUntilInactive();
      await sleep(TWO_POLLS_MS);
      expect(client.isActive).toEqual(false);
      ageMs = () => 0;
      await sleep(2 * TWO_POLLS_MS);
      expect(client.isActive).toEqual(true);
    });

    it('receives nothing from a source that does not state the age', async () => {
      answer = async request => {
        const response = await sendRequest(request);
        return (
          response && {
            ...response,
            configuration: {...response.configuration, ageMs: undefined},
          }
        );
      };
      await client.stop(0);
      const other = new StoreRelayClient({
        store,
        canUseRelay: () => true,
        configurationWithinMs: () => WITHIN_MS,
        sendRequest: request => answer(request),
        changeSource: () => undefined,
        onFallBack: () => undefined,
        listeners: {members, configuration},
        log: createSilentLogger(),
      });
      await other.start();
      await sleep(50);
      expect(other.isActive).toEqual(false);
      await other.stop(0);
    });
  });
});
