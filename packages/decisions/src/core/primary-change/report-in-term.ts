import type {PrimaryRecord, ReplicationReport} from './types.js';

/**
 * Marks a report whose log has left that of a term.
 *
 * Positions are ordered by term, so a log that ends in entries which only a former
 * primary wrote looks newer than one with all entries from which the term began.
 * An instance that has not followed the term, and whose last entry is of a later
 * term than the start of the term, has such a log: it may lack commits that
 * precede the term, and has confirmed none of it.
 *
 * @param report - The report of an instance.
 * @param record - The record of the term.
 * @returns The report.
 */
export function reportInTerm(
  report: ReplicationReport,
  {term, initialPosition}: Pick<PrimaryRecord, 'term' | 'initialPosition'>,
): ReplicationReport {
  const {received} = report;
  const hasLeft =
    initialPosition !== undefined &&
    report.term < term &&
    received.term < term &&
    received.term > initialPosition.term;
  return hasLeft ? {...report, hasLeftTerm: true} : report;
}
