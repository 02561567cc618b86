import {TransactionState} from '@sapphireglade/decisions';
import type {Route} from '../configuration/index.js';
import type {InstancePool, PooledConnection} from '../pool/index.js';
import {steadyNow, TIMED_OUT, within} from '../time/index.js';
import {CommandKind} from '../upstream/index.js';

/** How long rolling back may take before the connection is closed, in milliseconds. */
const ROLLBACK_TIMEOUT_MS = 1_000;

/** A connection that is bound to a transaction. */
export interface BoundConnection {
  readonly pool: InstancePool;
  readonly connection: PooledConnection;
}

/** A transaction of one session. It binds a connection at its first statement. */
export class SessionTransaction {
  /** Whether a write was sent in it. */
  hasWritten = false;
  /** The connection, once a statement has run. */
  bound: BoundConnection | undefined;
  /** When the last statement ended, in milliseconds. */
  lastActiveMs = steadyNow();
  /** When it began, in milliseconds. */
  readonly beganAtMs = steadyNow();

  constructor(
    readonly isReadOnly: boolean,
    readonly route: Route,
  ) {}

  /** Ends the transaction at the instance without keeping anything. */
  rollBack(): void {
    const bound = this.takeBound();
    if (bound === undefined) return;
    void rollBackConnection(bound);
  }

  /** Gives the connection back after the transaction has ended there. */
  release(): void {
    const bound = this.takeBound();
    if (bound !== undefined) bound.pool.release(bound.connection);
  }

  /** Closes the connection, because its state is not known. */
  discard(reason: string): void {
    const bound = this.takeBound();
    if (bound !== undefined) bound.pool.discard(bound.connection, reason);
  }

  private takeBound(): BoundConnection | undefined {
    const {bound} = this;
    this.bound = undefined;
    return bound;
  }
}

/** Rolls back and gives the connection back, or closes it. */
async function rollBackConnection({
  pool,
  connection,
}: BoundConnection): Promise<void> {
  if (connection.isOpen && connection.state === TransactionState.Idle) {
    pool.release(connection);
    return;
  }
  const answer = await within(
    connection.run({kind: CommandKind.Rollback}),
    ROLLBACK_TIMEOUT_MS,
  ).catch((error: Error) => error);
  if (answer === TIMED_OUT || answer instanceof Error) {
    pool.discard(connection, 'the rollback was not answered');
    return;
  }
  pool.release(connection);
}
