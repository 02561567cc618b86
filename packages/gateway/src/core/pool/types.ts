import type {WaitingRequest} from '@sapphireglade/decisions';
import type {PooledConnection} from './pooled-connection.js';

/** A request for a connection. */
export interface ConnectionRequest extends WaitingRequest {
  /** Values of the session, to prefer a connection that holds them. */
  readonly values: ReadonlyMap<string, string>;
}

/** A request that waits, and how its waiting ends. */
export interface WaitingConnectionRequest extends ConnectionRequest {
  readonly resolve: (connection: PooledConnection) => void;
  readonly reject: (error: Error) => void;
}
