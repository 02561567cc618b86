import {MAXIMUM_SESSION_BYTES} from './session-values.js';

/**
 * Part of the memory of a process that the values and shapes of all sessions may
 * take; most of the rest is for connections, links and results.
 */
const SESSION_MEMORY_FRACTION = 1 / 8;

const BYTES_PER_MEGABYTE = 1_000_000;

/**
 * Returns how many bytes all sessions of a process may hold together. It is at least
 * what one session may hold.
 *
 * @param memoryMb - Memory that the process may use, in MB.
 */
export function maximumBytesOfSessions(memoryMb: number): number {
  const bytes = memoryMb * BYTES_PER_MEGABYTE * SESSION_MEMORY_FRACTION;
  return Math.max(MAXIMUM_SESSION_BYTES, bytes);
}

/** Counts the bytes that the sessions of a process hold together. */
export class SessionBudget {
  private reservedBytes = 0;

  /** @param maximumBytes - Returns how many bytes may be held at present. */
  constructor(private readonly maximumBytes: () => number) {}

  /** Number of bytes that are held. */
  get heldBytes(): number {
    return this.reservedBytes;
  }

  /**
   * Counts bytes that a session is about to hold.
   *
   * @param bytes - Number of bytes; negative if the session will hold fewer.
   * @returns Whether they were counted; fewer bytes always are.
   */
  reserve(bytes: number): boolean {
    const heldBytes = this.reservedBytes + bytes;
    if (bytes > 0 && heldBytes > this.maximumBytes()) return false;
    this.reservedBytes = heldBytes;
    return true;
  }

  /** Gives back bytes that a session no longer holds. */
  release(bytes: number): void {
    this.reservedBytes -= bytes;
  }
}
