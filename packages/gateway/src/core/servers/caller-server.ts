import type {CallerSession} from '../sessions/index.js';

/** Creates a session for a database. */
export type SessionFactory = (database: string) => CallerSession;

/** Accepts connections of callers and creates a session for each. */
export abstract class CallerServer {
  /** Number of open connections. */
  abstract readonly openConnections: number;

  /** Starts accepting callers. */
  abstract listen(openSession: SessionFactory): Promise<void>;

  /** Sets how many callers may be connected; existing connections above the limit stay open. */
  abstract limit(maximumCallers: number): void;

  /** Stops accepting callers and closes each session when it is idle. */
  abstract drain(): void;

  /** Ends the sessions that are in a transaction and run no statement. */
  abstract endOpenTransactions(): void;

  /** Closes every connection. */
  abstract close(): Promise<void>;
}
