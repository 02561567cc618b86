import type {LogPosition} from '../groups/index.js';

/** State seen by a session; its reads must not return anything older. */
export interface SessionState {
  /** Latest configuration revision that the session has seen. */
  readonly revision: number;
  /**
   * Position seen in each group, by group name, ordered from the group seen
   * longest ago to the most recent one.
   */
  readonly positions: Readonly<Record<string, LogPosition>>;
  /**
   * Whether groups seen long ago were dropped to limit the size of the session. A
   * read of a group that is not listed must then see every write acknowledged
   * before it.
   */
  readonly isFolded?: boolean;
}
