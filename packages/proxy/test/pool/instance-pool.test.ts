import {describe, it} from 'node:test';
import type {SapphiregladeError} from '@sapphireglade/decisions';
import {ErrorKind} from '@sapphireglade/decisions';
import {expect} from 'earl';
import {Subject} from 'rxjs';
import type {UpstreamConnection} from '../../src/index.js';
import {InstancePool, UpstreamConnector} from '../../src/index.js';

const SHARE = 4;

/** Opens connections that can be lost while the instance still counts them. */
class LossyConnector extends UpstreamConnector {
  readonly clientName = 'entry-1/boot';
  readonly opened: LossyConnection[] = [];

  async open(): Promise<UpstreamConnection> {
    const connection = new LossyConnection();
    this.opened.push(connection);
    return connection as unknown as UpstreamConnection;
  }

  loseAll(): void {
    for (const connection of this.opened) void connection.close();
  }
}

class LossyConnection {
  readonly closed$ = new Subject<void>();
  isOpen = true;

  async close(): Promise<void> {
    if (!this.isOpen) return;
    this.isOpen = false;
    this.closed$.next();
  }
}

describe('InstancePool', () => {
  it('opens exactly one connection beyond a share filled by lost ones', async () => {
    const connector = new LossyConnector();
    const pool = createPool(connector);
    while (connector.opened.length < SHARE) {
      connector.loseAll();
      await pool.openWatchConnection();
    }
    connector.loseAll();
    await pool.openWatchConnection();
    expect(connector.opened.length).toEqual(SHARE + 1);
    connector.loseAll();
    const failure = await pool.openWatchConnection().then(
      () => undefined,
      (error: unknown) => error,
    );
    await pool.stop();
    expect(connector.opened.length).toEqual(SHARE + 1);
    expect((failure as SapphiregladeError).kind).toEqual(
      ErrorKind.NoConnection,
    );
  });
});

function createPool(connector: UpstreamConnector): InstancePool {
  const instance = {
    name: 'ledger-1',
    zone: 'lhr-depot',
    address: '127.0.0.1',
    port: 5_432,
    slots: 3,
    connectionLimit: 20,
    state: 'active',
  } as const;
  return new InstancePool(instance, connector, SHARE);
}
