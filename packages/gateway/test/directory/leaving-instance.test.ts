import {ReadConsistency} from '@sapphireglade/decisions';
import {afterEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {SessionReply} from '../../src/index.js';
import {coordinatorKey, StatementKind} from '../../src/index.js';
import type {FleetProxy} from '../support/memory-fleet.js';
import {MemoryFleet} from '../support/memory-fleet.js';
import type {MemoryInstance} from '../support/memory-group.js';

/** Time within which a leaving instance must no longer receive statements, in milliseconds. */
const LEAVE_WITHIN_MS = 2_000;

/** Longer than a proxy takes to act on what it knows, in milliseconds. */
const REACTION_MS = 300;

/** Longer than a proxy that owns no group waits between two reads of the directory, in milliseconds. */
const POLL_MS = 4_500;

/** Number of owners that stop; other owners may take over from one. */
const STOPPED_OWNERS = 3;

/** Number of requests that are sent through a proxy. */
const REQUESTS = 60;

/** Delay between two requests, in milliseconds. */
const REQUEST_DELAY_MS = 20;

/** A statement that reached an instance. */
interface ReceivedStatement {
  readonly proxy: string;
  readonly instance: string;
}

describe('a leaving instance', () => {
  let fleet: MemoryFleet;

  afterEach(() => fleet.stop());

  async function send(
    proxy: FleetProxy,
    consistency: ReadConsistency,
    kind: typeof StatementKind.Read | typeof StatementKind.Write,
  ): Promise<SessionReply> {
    const session = proxy.open(consistency);
    const reply = await session.handle({
      requestId: `${proxy.name}/${performance.now()}`,
      statement: {
        kind,
        text: kind === StatementKind.Read ? 'READ' : 'WRITE',
      },
    });
    session.end();
    return reply;
  }

  /** Sends reads through proxies, and returns what reaches the instances meanwhile. */
  async function read(
    proxies: readonly FleetProxy[],
  ): Promise<ReceivedStatement[]> {
    const {instances} = fleet.group;
    const counts = instances.map(({received}) => received.length);
    for (let index = 0; index < REQUESTS; index += 1) {
      for (const proxy of proxies)
        void send(proxy, ReadConsistency.BoundedStaleness, StatementKind.Read);
      await sleep(REQUEST_DELAY_MS);
    }
    return instances.flatMap(({id, received}, index) =>
      received.slice(counts[index]).map(({proxy}) => ({proxy, instance: id})),
    );
  }

  /** Lets a replica leave while reads that may be stale do not show it, and waits until that was read. */
  async function leaveUnseen(replica: MemoryInstance): Promise<void> {
    fleet.store.staleBackup = fleet.store.backup();
    fleet.announceLeaving(replica.id);
    await sleep(POLL_MS);
  }

  /** Waits until the proxies that own no group have just read the directory. */
  async function awaitPoll(): Promise<void> {
    const reads = fleet.store.staleReads;
    while (fleet.store.staleReads === reads) await sleep(5);
    await sleep(REACTION_MS);
  }

  describe('that stale reads of the directory do not show', () => {
    it('receives nothing from a proxy that has become an owner', async () => {
      fleet = new MemoryFleet({hasStoredDirectory: true});
      await fleet.start(8);
      const [, replica] = fleet.group.instances;
      const owners = new Set(
        (await read(fleet.proxies)).map(({proxy}) => proxy),
      );
      await leaveUnseen(replica!);
      const ranked = fleet.proxies.toSorted(
        (left, right) =>
          Number(owners.has(right.name)) - Number(owners.has(left.name)),
      );
      await awaitPoll();
      const stopped = ranked.slice(0, STOPPED_OWNERS);
      const others = ranked.slice(STOPPED_OWNERS);
      await Promise.all(stopped.map(({gateway}) => gateway.stop()));
      const received = await read(others);
      const newOwners = received.filter(({proxy}) => !owners.has(proxy));
      expect(newOwners.length > 0).toEqual(true);
      expect(received.filter(({instance}) => instance === replica!.id)).toEqual(
        [],
      );
    });

    it('receives nothing from a proxy that has just started', async () => {
      fleet = new MemoryFleet({hasStoredDirectory: true});
      await fleet.start(2);
      const [, replica] = fleet.group.instances;
      await leaveUnseen(replica!);
      await fleet.startProxy('proxy-2');
      const started = fleet.proxies.at(-1)!;
      while (!started.isReady()) await sleep(5);
      const received = await read([started]);
      expect(received.filter(({instance}) => instance === replica!.id)).toEqual(
        [],
      );
    });
  });

  describe('that is a primary and is not replaced', () => {
    it('receives no new statement once it has to be left alone', async () => {
      fleet = new MemoryFleet({
        hasStoredDirectory: true,
        settings: {leaveWithinMs: LEAVE_WITHIN_MS},
      });
      await fleet.start(2);
      const {store, group, proxies} = fleet;
      const [primary] = group.instances;
      // No proxy coordinates any more.
      store.put(coordinatorKey(store.generation), 'nobody');
      await sleep(REACTION_MS);
      fleet.announceLeaving(primary!.id);
      await sleep(LEAVE_WITHIN_MS);
      const received = primary!.received.length;
      const replies = await Promise.all(
        proxies.flatMap(proxy => [
          send(proxy, ReadConsistency.ReadYourWrites, StatementKind.Write),
          send(proxy, ReadConsistency.Primary, StatementKind.Read),
        ]),
      );
      expect(primary!.received.slice(received)).toEqual([]);
      for (const {failure} of replies) {
        expect(failure?.kind).toEqual('no-primary');
      }
    });
  });
});
