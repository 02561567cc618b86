import type {InstancePool, PooledConnection} from '../pool/index.js';

/** A connection that is bound to a transaction or a statement, with its pool. */
export interface BoundConnection {
  readonly pool: InstancePool;
  readonly connection: PooledConnection;
}
