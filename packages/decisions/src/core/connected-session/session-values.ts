import type {PreparedStatement} from './types.js';

/** Most values and prepared names that one session may hold. */
const MAXIMUM_ENTRIES = 1_000;

/**
 * Values and prepared names that were acknowledged to one caller.
 *
 * They are kept at the proxy and replayed to whichever upstream connection
 * runs the session's next statement.
 */
export class SessionValues {
  private readonly settings = new Map<string, string>();
  private readonly statements = new Map<string, PreparedStatement>();

  /** The values by name. */
  get values(): ReadonlyMap<string, string> {
    return this.settings;
  }

  /**
   * Sets a value.
   *
   * @returns Whether it was kept; a session holds a bounded number of values.
   */
  set(name: string, value: string): boolean {
    if (!this.settings.has(name) && this.isFull) return false;
    this.settings.set(name, value);
    return true;
  }

  /**
   * Prepares a statement under a name of the caller's.
   *
   * @returns Whether it was kept; a session holds a bounded number of names.
   */
  prepare(name: string, statement: PreparedStatement): boolean {
    if (!this.statements.has(name) && this.isFull) return false;
    this.statements.set(name, statement);
    return true;
  }

  /**
   * Forgets a prepared name.
   *
   * @returns Whether the name was known.
   */
  deallocate(name: string): boolean {
    return this.statements.delete(name);
  }

  /** Looks a prepared name up. */
  prepared(name: string): PreparedStatement | undefined {
    return this.statements.get(name);
  }

  private get isFull(): boolean {
    return this.settings.size + this.statements.size >= MAXIMUM_ENTRIES;
  }
}
