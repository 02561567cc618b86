import type {LogPosition, TermStart} from '@sapphireglade/decisions';
import {EMPTY_POSITION} from '@sapphireglade/decisions';
import {sqlValueSchema} from '@sapphireglade/protocol';
import {z} from 'zod';

/** How many term starts a status shows. */
const MAXIMUM_REPORTED_TERM_STARTS = 16;

/** Schema of one entry of the log. */
export const logEntrySchema = z.object({
  term: z.int(),
  position: z.int(),
  /** Wall clock of the primary when it appended the entry, in milliseconds. */
  committedAt: z.number(),
  changes: z.array(
    z.object({
      table: z.string(),
      keyColumn: z.string(),
      key: sqlValueSchema,
      row: z.record(z.string(), sqlValueSchema).nullable(),
    }),
  ),
});

/** One entry of the log. The first entry of each term changes nothing. */
export type LogEntry = z.infer<typeof logEntrySchema>;

/** The log of an instance. Entry i has position i, counted from 1. */
export class ReplicatedLog {
  private entries: LogEntry[] = [];
  private starts: TermStart[] = [];

  /** Position of the last entry. */
  get last(): LogPosition {
    const entry = this.entries.at(-1);
    if (entry === undefined) return EMPTY_POSITION;
    return {term: entry.term, position: entry.position};
  }

  /** Where every term began, ascending. */
  get termStarts(): readonly TermStart[] {
    return this.starts;
  }

  /** Where the latest terms began, ascending. */
  get latestTermStarts(): TermStart[] {
    return this.starts.slice(-MAXIMUM_REPORTED_TERM_STARTS);
  }

  /** Adds an entry, which must follow the last one. */
  append(entry: LogEntry): void {
    const {term, position} = this.last;
    if (entry.position !== position + 1) {
      throw new Error(`Entry ${entry.position} does not follow ${position}.`);
    }
    if (entry.term > term) this.starts.push({term: entry.term, position});
    this.entries.push(entry);
  }

  /** Lists the entries after a position. */
  entriesAfter(position: number, limit: number): LogEntry[] {
    return this.entries.slice(position, position + limit);
  }

  /** Lists all entries. */
  listEntries(): readonly LogEntry[] {
    return this.entries;
  }

  /** Says whether the log has this entry. */
  hasEntry({term, position}: LogPosition): boolean {
    if (position === 0) return true;
    return this.entries[position - 1]?.term === term;
  }

  /**
   * Finds the last position that this log shares with another one.
   *
   * Entries with the same term and position are the same, because a term has
   * one primary; so the logs agree up to the last such entry.
   *
   * @param last - Last position of the other log.
   * @param termStarts - Where every term of the other log began.
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
   * @returns How many were dropped.
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
