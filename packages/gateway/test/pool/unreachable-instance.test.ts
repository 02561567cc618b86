import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {InstanceConnection} from '../../src/index.js';
import {InstanceConnector, InstancePool} from '../../src/index.js';
import {steadyNowMs} from '../../src/core/time/index.js';

/** Longer than the delay between two attempts to connect, in milliseconds. */
const AFTER_RECONNECT_DELAY_MS = 200;

/** A connector to an instance that refuses the first connection and then is dark. */
class DarkConnector extends InstanceConnector {
  attempts = 0;

  override open(): Promise<InstanceConnection> {
    this.attempts += 1;
    return this.attempts === 1
      ? Promise.reject(
          new SapphiregladeError(ErrorKind.NoConnection, 'refused'),
        )
      : new Promise(() => undefined);
  }
}

describe('InstancePool before an instance that cannot be reached', () => {
  let connector: DarkConnector;
  let pool: InstancePool;

  beforeEach(() => {
    connector = new DarkConnector();
    const endpoint = {id: 'ledger-0', group: 'ledger', host: 'memory', port: 1};
    pool = new InstancePool(endpoint, connector, createSilentLogger());
    pool.setShare(1);
  });

  /** Requests a connection; returns the kind of error or "waiting". */
  async function requestConnection(): Promise<string> {
    const request = pool
      .acquire({
        priority: 0,
        deadlineMs: steadyNowMs() + 60_000,
        values: new Map(),
      })
      .then(
        () => 'acquired',
        (error: SapphiregladeError) => error.kind,
      );
    return Promise.race([request, sleep(20, 'waiting')]);
  }

  it('lets a request wait for the first attempt', async () => {
    connector.attempts = 1;
    expect(await requestConnection()).toEqual('waiting');
  });

  it('refuses requests at once while it tries to connect again', async () => {
    expect(await requestConnection()).toEqual(ErrorKind.NoConnection);
    await sleep(AFTER_RECONNECT_DELAY_MS);
    pool.maintain();
    expect(await requestConnection()).toEqual(ErrorKind.NoConnection);
    expect(connector.attempts).toEqual(2);
    expect(pool.queueLength).toEqual(0);
  });
});
