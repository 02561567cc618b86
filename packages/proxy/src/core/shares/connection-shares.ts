import type {Observable} from 'rxjs';

/** Numbers of connections that this process may hold to each instance. */
export abstract class ConnectionShares {
  /** Emits whenever a share may have changed. */
  abstract readonly changes$: Observable<void>;

  /**
   * Returns the number of connections this process may hold to an instance.
   *
   * @returns 0 if the process holds no share; it must not open connections
   *   then.
   */
  abstract allowedConnections(group: string, instance: string): number;
}

/** Returns the number of open connections of this process to an instance. */
export type ConnectionCounter = (group: string, instance: string) => number;
