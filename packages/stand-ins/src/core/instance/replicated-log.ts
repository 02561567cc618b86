import type {LogPosition, TermStart} from '@sapphireglade/decisions';
import {EMPTY_POSITION} from '@sapphireglade/decisions';
import {rowSchema, sqlValueSchema} from '@sapphireglade/protocol';
import {z} from 'zod';

/** Number of term starts included in a status. */
const MAXIMUM_REPORTED_TERM_STARTS = 16;

/** Schema of a log entry. */
export const logEntrySchema = z.object({
  term: z.int(),
  position: z.int(),
  /** Wall clock time of the append at the primary, in milliseconds. */
  committedAt: z.number(),
  changes: z.array(
    z.object({
      table: z.string(),
      keyColumn: z.string(),
      key: sqlValueSchema,
      row: rowSchema.nullable(),
    }),
  ),
});

/** Log entry. The first entry of each term has no changes. */
export type LogEntry = z.infer<typeof logEntrySchema>;

/** Log of an instance. Entry i has position i, counted from 1. */
export class ReplicatedLog {
  private entries: LogEntry[] = [];
  private starts: TermStart[] = [];

  /** Position of the last entry. */
  get last(): LogPosition {
    const entry = this.entries.at(-1);
    if (entry === undefined) return EMPTY_POSITION;
    return {term: entry.term, position: entry.position};
  }

  /** Start of every term, ascending. */
  get termStarts(): readonly TermStart[] {
    return this.starts;
  }

  /** Starts of the latest terms, ascending. */
  get latestTermStarts(): TermStart[] {
    return this.starts.slice(-MAXIMUM_REPORTED_TERM_STARTS);
  }

  /**
   * Appends an entry.
   *
   * @throws Error if it does not follow the last entry.
   */
  append(entry: LogEntry): void {
    const {term, position} = this.last;
    if (entry.position !== position + 1) {
      throw new Error(`Entry ${entry.position} does not follow ${position}.`);
    }
    if (entry.term > term) this.starts.push({term: entry.term, position});
    this.entries.push(entry);
  }

  /** Returns at most `limit` entries after a position. */
  entriesAfter(position: number, limit: number): LogEntry[] {
    return this.entries.slice(position, position + limit);
  }

  /** Returns all entries. */
  listEntries(): readonly LogEntry[] {
    return this.entries;
  }

  /** Returns whether the log has the entry of this term and position. */
  hasEntry({term, position}: LogPosition): boolean {
    if (position === 0) return true;
    return this.entries[position - 1]?.term === term;
  }

  /**
   * Returns the last position that this log shares with another one.
   *
   * Entries with the same term and position are equal because a term has only
   * one primary. The logs therefore agree up to the last such entry.
   *
   * @param last - Last position in the other log.
   * @param termStarts - Start of every term in the other log.
   */
  findCommonPosition(
    last: LogPosition,
    termStarts: readonly TermStart[],
  ): number {
    let common = Math.min(last.position, this.entries.length);
    while (common > 0 && !this.sharesTerm(common, termStarts)) common -= 1;
    return common;
  }

  /**
   * Drops the entries after a position.
   *
   * @returns Number of dropped entries.
   */
  truncate(position: number): number {
    const dropped = this.entries.length - position;
    this.entries = this.entries.slice(0, position);
    this.starts = this.starts.filter(start => start.position < position);
    return dropped;
  }

  private sharesTerm(
    position: number,
    termStarts: readonly TermStart[],
  ): boolean {
    const start = termStarts.findLast(
      candidate => candidate.position < position,
    );
    return start?.term === this.entries[position - 1]?.term;
  }
}
