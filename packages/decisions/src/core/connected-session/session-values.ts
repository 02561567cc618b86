import type {SessionBudget} from './session-budget.js';
import type {PreparedStatement} from './types.js';

/** Maximum number of values and prepared names in one session. */
const MAXIMUM_ENTRIES = 1_000;

/**
 * Maximum size of the names, values and shapes of one session, in bytes. Each
 * character has one byte, as in the messages of callers. It is enough for several of
 * the longest messages, which have 1 MiB; with the longest statement, whose characters
 * may take two bytes each, it stays below the longest message between proxies.
 */
export const MAXIMUM_SESSION_BYTES = 4_194_304;

/**
 * What an entry costs beyond its text, in bytes, as counted over all sessions. It was
 * measured as 138 for a prepared statement that has been used.
 */
const ENTRY_BYTES = 160;

/**
 * Values and prepared names that were acknowledged to one caller.
 *
 * The proxy stores them and replays them on the upstream connection that runs
 * the next statement of the session.
 */
export class SessionValues {
  private readonly settings = new Map<string, string>();
  private readonly statements = new Map<string, PreparedStatement>();
  private heldBytes = 0;

  /**
   * @param budget - Counts what all sessions of the process hold; undefined for values
   *   that are not kept, as those of a request from another proxy.
   */
  constructor(private readonly budget?: SessionBudget) {}

  /** Values by name. */
  get values(): ReadonlyMap<string, string> {
    return this.settings;
  }

  /**
   * Sets a value.
   *
   * @returns Whether it was stored; the number of values and their size are bounded,
   *   and so is the size of what all sessions hold.
   */
  set(name: string, value: string): boolean {
    const previous = this.settings.get(name);
    const isStored = this.reserve(name, previous, value);
    if (isStored) this.settings.set(copyText(name), copyText(value));
    return isStored;
  }

  /**
   * Stores a prepared statement under the caller's name for it.
   *
   * @returns Whether it was stored; see {@link set}.
   */
  prepare(name: string, statement: PreparedStatement): boolean {
    const previous = this.statements.get(name)?.shape;
    const isStored = this.reserve(name, previous, statement.shape);
    if (!isStored) return false;
    const shape = copyText(statement.shape);
    this.statements.set(copyText(name), {kind: statement.kind, shape});
    return true;
  }

  /**
   * Removes a prepared name.
   *
   * @returns Whether the name existed.
   */
  deallocate(name: string): boolean {
    const statement = this.statements.get(name);
    if (statement === undefined) return false;
    const bytes = name.length + statement.shape.length;
    this.heldBytes -= bytes;
    this.budget?.release(bytes + ENTRY_BYTES);
    return this.statements.delete(name);
  }

  /** Removes everything, because the session has ended. */
  clear(): void {
    const entries = this.settings.size + this.statements.size;
    this.budget?.release(this.heldBytes + entries * ENTRY_BYTES);
    this.settings.clear();
    this.statements.clear();
    this.heldBytes = 0;
  }

  /** Returns the statement of a prepared name, if any. */
  prepared(name: string): PreparedStatement | undefined {
    return this.statements.get(name);
  }

  /**
   * Counts an entry that is added or replaced, if the session and the process can
   * hold it.
   *
   * @param name - Name of the entry.
   * @param previous - Text stored under the name so far, if any.
   * @param text - The value or shape to store.
   */
  private reserve(
    name: string,
    previous: string | undefined,
    text: string,
  ): boolean {
    const isNew = previous === undefined;
    const entries = this.settings.size + this.statements.size;
    if (isNew && entries >= MAXIMUM_ENTRIES) return false;
    const addedBytes = text.length + (isNew ? name.length : -previous.length);
    if (this.heldBytes + addedBytes > MAXIMUM_SESSION_BYTES) return false;
    const costBytes = addedBytes + (isNew ? ENTRY_BYTES : 0);
    if (this.budget?.reserve(costBytes) === false) return false;
    this.heldBytes += addedBytes;
    return true;
  }
}

/** Shortest part of a text that refers to all of it, in characters, in V8. */
const MINIMUM_SLICE_LENGTH = 13;

/**
 * Returns a copy of a text. A part of a longer text refers to all of it, which would
 * then stay in memory without being counted.
 */
function copyText(text: string): string {
  return text.length < MINIMUM_SLICE_LENGTH ? text : structuredClone(text);
}
