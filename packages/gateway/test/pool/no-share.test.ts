import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {InstanceConnection, PooledConnection} from '../../src/index.js';
import {InstanceConnector, InstancePool} from '../../src/index.js';
import {steadyNowMs} from '../../src/core/time/index.js';
import {MemoryConnector} from '../support/memory-connector.js';
import {MemoryGroup} from '../support/memory-group.js';

const GROUP = 'ledger';

/** Connects to the instances of a group, or refuses. */
class CountingConnector extends InstanceConnector {
  attempts = 0;
  isRefusing = false;

  constructor(private readonly reachable: MemoryConnector) {
    super();
  }

  override open(
    ...args: Parameters<MemoryConnector['open']>
  ): Promise<InstanceConnection> {
    this.attempts += 1;
    if (!this.isRefusing) return this.reachable.open(...args);
    return Promise.reject(
      new SapphiregladeError(ErrorKind.NoConnection, 'refused'),
    );
  }
}

describe('InstancePool without a share', () => {
  let connector: CountingConnector;
  let pool: InstancePool;

  beforeEach(() => {
    const group = new MemoryGroup(GROUP, 1);
    const {id} = group.instances[0]!;
    connector = new CountingConnector(
      new MemoryConnector('proxy-0', new Map([[GROUP, group]])),
    );
    const endpoint = {id, group: GROUP, host: 'memory', port: 1};
    pool = new InstancePool(endpoint, connector, createSilentLogger());
  });

  function request(): Promise<PooledConnection> {
    return pool.acquire({
      priority: 0,
      deadlineMs: steadyNowMs() + 60_000,
      values: new Map(),
    });
  }

  /** Returns how a request was refused within a moment. */
  async function refusalOf(
    requested: Promise<PooledConnection>,
  ): Promise<unknown> {
    const refusal = requested.then(
      () => 'acquired',
      ({kind, retryAfterMs}: SapphiregladeError) => ({kind, retryAfterMs}),
    );
    return Promise.race([refusal, sleep(50, 'waiting')]);
  }

  const REFUSED = {kind: ErrorKind.NoConnection, retryAfterMs: 500};

  it('refuses a request at once and says when to come back', async () => {
    pool.setShare(0);
    pool.maintain();
    expect(await refusalOf(request())).toEqual(REFUSED);
    expect(connector.attempts).toEqual(0);
  });

  it('refuses the requests that wait for a connection in use', async () => {
    pool.setShare(1);
    const used = await request();
    const waiting = request();
    pool.setShare(0);
    expect(await refusalOf(waiting)).toEqual(REFUSED);
    pool.release(used);
    expect(pool.connections).toEqual(0);
  });

  it('does not keep an instance unreachable that it no longer connects to', async () => {
    connector.isRefusing = true;
    pool.setShare(1);
    expect(await refusalOf(request())).toEqual({
      kind: ErrorKind.NoConnection,
      retryAfterMs: 150,
    });
    expect(pool.unreachableSinceMs === undefined).toEqual(false);
    pool.setShare(0);
    expect(pool.unreachableSinceMs).toEqual(undefined);
  });

  it('serves again once it has a share', async () => {
    pool.setShare(0);
    expect(await refusalOf(request())).toEqual(REFUSED);
    pool.setShare(1);
    expect(await refusalOf(request())).toEqual('acquired');
  });
});
