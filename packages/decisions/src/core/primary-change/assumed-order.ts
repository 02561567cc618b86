import type {Incarnation, PrimaryRecord, ReplicationReport} from './types.js';
import {PrimaryPhase} from './types.js';

/**
 * How long the directory has to go on naming an incarnation after it reported, in
 * milliseconds. One that has started registers within this time.
 */
export const SIGHTING_CONFIRMATION_MS = 2_000;

/** What the directory says of an instance. */
export interface DirectorySighting {
  readonly incarnation: Incarnation;
  /** Number of the entry, which rises while the incarnation writes it. */
  readonly sequence: number | undefined;
}

/** A report of the old primary before the change stepped it down. */
export interface PrimarySighting {
  readonly report: ReplicationReport;
  /** The entry before the instance was asked. */
  readonly entry: DirectorySighting;
}

/** What is known of an order that may have been given to replace a primary. */
export interface AssumedOrderInputs {
  /** The record of the change. */
  readonly record: PrimaryRecord;
  /** Number of promotions that the change takes into account. */
  readonly orders: number;
  /** The old primary as it was first seen; undefined if it has not reported. */
  readonly sighting: PrimarySighting | undefined;
  /** The entry of now; undefined if it is missing. */
  readonly entry: DirectorySighting | undefined;
  /** How long after the sighting the state of the directory was requested, in milliseconds. */
  readonly observedForMs: number;
}

/**
 * Returns whether the old primary has led its term without interruption since
 * its record was written, so that an assumed order was never given.
 *
 * Before an order, every replica that could hold a commit is held, or the old
 * primary has stepped down. A record with an assumed order says that a replica
 * was not held. Only a start undoes a step-down, so the incarnation of the record
 * that still leads has not stepped down. A start may also cost an instance its
 * log, and it does not say so.
 *
 * A report does not name the incarnation, and a restored store may list an
 * earlier one. The directory counts once the incarnation has written there after
 * the report.
 *
 * @param inputs - The record, and what the old primary reported.
 */
export function hasLedThroughout(inputs: AssumedOrderInputs): boolean {
  const {record, orders, sighting} = inputs;
  if (!hasOnlyAssumedOrder(record, orders) || sighting === undefined)
    return false;
  const {report, entry} = sighting;
  return (
    entry.incarnation !== undefined &&
    entry.incarnation === record.primaryBornAtMs &&
    hasWrittenSince(entry, inputs) &&
    report.id === record.primary &&
    report.isPrimary &&
    report.term === record.term &&
    report.heldTerm <= record.term
  );
}

/** Returns whether the same incarnation has written its entry again since it was seen. */
function hasWrittenSince(
  {incarnation, sequence}: DirectorySighting,
  {entry, observedForMs}: AssumedOrderInputs,
): boolean {
  return (
    observedForMs >= SIGHTING_CONFIRMATION_MS &&
    entry?.incarnation === incarnation &&
    entry?.sequence !== undefined &&
    sequence !== undefined &&
    entry.sequence > sequence
  );
}

/** Returns whether the only order that a change takes into account is one that may not exist. */
export function hasOnlyAssumedOrder(
  {phase, isOrderAssumed, target, outstandingOrder, ...record}: PrimaryRecord,
  orders: number,
): boolean {
  return (
    isOrderAssumed === true &&
    phase === PrimaryPhase.Changing &&
    target === undefined &&
    outstandingOrder === undefined &&
    record.orders === 1 &&
    orders === 1
  );
}
