import {ReadConsistency} from '@sapphireglade/decisions';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {SessionReply} from '../../src/index.js';
import {StatementKind} from '../../src/index.js';
import type {FleetProxy} from '../support/memory-fleet.js';
import {GROUP, MemoryFleet} from '../support/memory-fleet.js';
import {registeredInstance} from '../support/primary-change-context.js';
import {storeRegistration} from '../support/stored-directory.js';

/** Time after which a proxy may ask the replicas, in milliseconds. */
const SETTLED_MS = 10_500;

/** Time after which the commit is older than any read allows, in milliseconds. */
const OLD_MS = 1_500;

/** Time for which reads are sent, in milliseconds. */
const READING_MS = 2_000;

describe('reads after an instance joined right before the store went away', () => {
  let fleet: MemoryFleet;

  beforeEach(async () => {
    fleet = new MemoryFleet({hasStoredDirectory: true});
    await fleet.start(2);
    await sleep(SETTLED_MS);
  });

  afterEach(async () => {
    for (const {store} of fleet.proxies) store.isPartitioned = false;
    await fleet.stop();
  });

  async function send(
    {open}: FleetProxy,
    kind: typeof StatementKind.Read | typeof StatementKind.Write,
    requestId: string,
  ): Promise<SessionReply> {
    const session = open(ReadConsistency.BoundedStaleness);
    const reply = await session.handle({
      requestId,
      statement: {kind, text: kind === StatementKind.Read ? 'READ' : 'WRITE'},
    });
    session.end();
    return reply;
  }

  // Guards against reads by a list that was older than the last view of the store.
  it('include what it confirmed', async () => {
    const {group, proxies, store} = fleet;
    const [reader, writer] = proxies as [FleetProxy, FleetProxy];
    const first = await send(writer, StatementKind.Write, 'before');
    expect(first.failure?.kind).toEqual(undefined);
    const [primary, ...replicas] = group.instances;
    for (const {id} of replicas) group.partition(primary!.id, id);
    const joined = group.addInstance();
    storeRegistration(store, registeredInstance(joined.id, GROUP));
    for (const each of proxies) each.store.isPartitioned = true;
    const reply = await send(writer, StatementKind.Write, 'confirmed');
    expect(reply.failure?.kind).toEqual(undefined);
    for (const {name} of proxies) group.partition(name, primary!.id);
    await sleep(OLD_MS);
    const endsAtMs = performance.now() + READING_MS;
    let old = 0;
    for (let index = 0; performance.now() < endsAtMs; index += 1) {
      const read = await send(reader, StatementKind.Read, `read-${index}`);
      if (read.failure !== undefined) continue;
      if (!read.rows.includes('confirmed')) old += 1;
    }
    expect(old).toEqual(0);
  });
});
