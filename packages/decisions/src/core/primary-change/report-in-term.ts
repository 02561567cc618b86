import type {LogPosition} from '../groups/index.js';
import type {PrimaryRecord, ReplicationReport} from './types.js';

/** What a record says of the beginning of its term. */
type BegunTerm = Pick<PrimaryRecord, 'term' | 'initialPosition'>;

/** The end of an instance's log. */
export interface LogEnd {
  /** Term that the instance has followed; undefined if it is not known. */
  readonly term: number | undefined;
  /** Newest position of the log. */
  readonly received: LogPosition;
}

/**
 * Returns whether a log has left that of a term.
 *
 * Positions are ordered by term, so a log that ends in entries which only a former
 * primary wrote looks newer than one with all entries from which the term began.
 * An instance that has not followed the term, and whose last entry is of a later
 * term than the start of the term, has such a log: it may lack commits that
 * precede the term, and has confirmed none of it.
 *
 * @param log - The end of the log.
 * @param record - The record of the term.
 */
export function hasLeftTerm(
  {term: followed = -Infinity, received}: LogEnd,
  {term, initialPosition}: BegunTerm,
): boolean {
  return (
    initialPosition !== undefined &&
    followed < term &&
    received.term < term &&
    received.term > initialPosition.term
  );
}

/**
 * Marks a report whose log has left that of a term.
 *
 * @param report - The report of an instance.
 * @param record - The record of the term.
 * @returns The report.
 */
export function reportInTerm(
  report: ReplicationReport,
  record: BegunTerm,
): ReplicationReport {
  return hasLeftTerm(report, record) ? {...report, hasLeftTerm: true} : report;
}
