import type {Observable} from 'rxjs';

/** Says how many connections this process may hold to each instance. */
export abstract class ConnectionShares {
  /** Emits whenever a share may have changed. */
  abstract readonly changes$: Observable<void>;

  /**
   * How many connections this process may hold to an instance.
   *
   * @returns 0 if it holds no share; it must open none then.
   */
  abstract allowedConnections(group: string, instance: string): number;
}

/** Says how many connections this process holds to an instance now. */
export type ConnectionCounter = (group: string, instance: string) => number;
