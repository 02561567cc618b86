import type {DrainPhase} from '@sapphireglade/decisions';
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

  /**
   * Enters a phase of a graceful stop. From the first one on, no callers are
   * accepted.
   */
  abstract enterPhase(phase: DrainPhase): void;

  /** Closes every connection, after its answers were handed over. */
  abstract close(): Promise<void>;
}
