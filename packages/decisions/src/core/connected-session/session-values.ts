import type {PreparedStatement} from './types.js';

/** Maximum number of values and prepared names in one session. */
const MAXIMUM_ENTRIES = 1_000;

/**
 * Values and prepared names that were acknowledged to one caller.
 *
 * The proxy stores them and replays them on the upstream connection that runs
 * the next statement of the session.
 */
export class SessionValues {
  private readonly settings = new Map<string, string>();
  private readonly statements = new Map<string, PreparedStatement>();

  /** Values by name. */
  get values(): ReadonlyMap<string, string> {
    return this.settings;
  }

  /**
   * Sets a value.
   *
   * @returns Whether it was stored; the number of values is bounded.
   */
  set(name: string, value: string): boolean {
    if (!this.settings.has(name) && this.isFull) return false;
    this.settings.set(name, value);
    return true;
  }

  /**
   * Stores a prepared statement under the caller's name for it.
   *
   * @returns Whether it was stored; the number of names is bounded.
   */
  prepare(name: string, statement: PreparedStatement): boolean {
    if (!this.statements.has(name) && this.isFull) return false;
    this.statements.set(name, statement);
    return true;
  }

  /**
   * Removes a prepared name.
   *
   * @returns Whether the name existed.
   */
  deallocate(name: string): boolean {
    return this.statements.delete(name);
  }

  /** Returns the statement of a prepared name, if any. */
  prepared(name: string): PreparedStatement | undefined {
    return this.statements.get(name);
  }

  private get isFull(): boolean {
    return this.settings.size + this.statements.size >= MAXIMUM_ENTRIES;
  }
}
