import type {CallerSession} from '../sessions/index.js';

/** Opens a session for a database. */
export type SessionFactory = (database: string) => CallerSession;

/** Accepts callers and gives each connection a session. */
export abstract class CallerServer {
  /** Connections that are open. */
  abstract readonly openConnections: number;

  /** Begins to accept callers. */
  abstract listen(openSession: SessionFactory): Promise<void>;

  /** Sets how many callers may be connected; those over a lower limit stay. */
  abstract limit(maximumCallers: number): void;

  /** Accepts no more callers and lets each session go when it is idle. */
  abstract drain(): void;

  /** Ends the sessions that are in a transaction but run no statement. */
  abstract endOpenTransactions(): void;

  /** Closes every connection. */
  abstract close(): Promise<void>;
}
