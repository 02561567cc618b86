import {after, before, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {ReadConsistency} from '@sapphireglade/decisions';
import {expect} from 'earl';
import type {SessionReply} from '../../src/index.js';
import {StatementKind} from '../../src/index.js';
import {MemoryFleet} from '../support/memory-fleet.js';

/** Longer than any key of the store may be. */
const LONG_NAME = 'ledger-\u00e9'.repeat(40);

/** Time within which a write must be served, in milliseconds. */
const SERVED_WITHIN_MS = 20_000;

describe('a fleet whose group has a name longer than a key', () => {
  const fleet = new MemoryFleet({group: LONG_NAME});

  before(() => fleet.start(3));
  after(() => fleet.stop());

  /** Sends a write until it is served by a proxy. */
  async function write(index: number, requestId: string): Promise<void> {
    const session = fleet.proxies[index]!.open(ReadConsistency.Primary);
    const statement = {kind: StatementKind.Write, text: 'WRITE'} as const;
    const deadlineMs = performance.now() + SERVED_WITHIN_MS;
    let reply: SessionReply;
    do {
      reply = await session.handle({requestId, statement});
      await sleep(20);
    } while (reply.failure !== undefined && performance.now() < deadlineMs);
    expect(reply.failure).toEqual(undefined);
  }

  it('serves writes at every proxy', async () => {
    for (const index of fleet.proxies.keys()) await write(index, `w${index}`);
  });

  it('replaces a primary that crashes', async () => {
    const [primary] = fleet.group.instances;
    primary!.isDown = true;
    for (const index of fleet.proxies.keys()) await write(index, `v${index}`);
    const leader = fleet.group.instances.find(
      ({isPrimary, isDown}) => isPrimary && !isDown,
    );
    expect(leader === undefined).toEqual(false);
  });
});
