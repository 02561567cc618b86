import type {PrimaryRecord} from '@sapphireglade/decisions';
import type {DatabaseGroup, VersionedPrimaryRecord} from '../groups/index.js';
import {encodePrimaryRecord, primaryRecordKey} from '../groups/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import {coordinatorKey} from './coordinator-key.js';

/**
 * The record was not written, because another proxy changed it or is the
 * coordinator.
 */
export class RecordConflictError extends Error {
  constructor(group: string) {
    super(`The record of group ${group} was changed by another proxy.`);
    this.name = 'RecordConflictError';
  }
}

/**
 * Writes the record of a group if this proxy is still the coordinator and the
 * record has not changed since it was read. The record is completed by the
 * instances whose logs may come back.
 *
 * @param context - Dependencies of the primary change.
 * @param group - The group.
 * @param record - The record.
 * @returns The record with its revision.
 * @throws RecordConflictError if a condition of the transaction fails.
 */
export async function writePrimaryRecord(
  context: PrimaryChangeContext,
  group: DatabaseGroup,
  record: PrimaryRecord,
): Promise<VersionedPrimaryRecord> {
  const {generation} = context.store;
  const coordinatorRevision = context.coordinatorRevision();
  // Revision 0 would be met by a store without a coordinator.
  if (coordinatorRevision === 0) throw new RecordConflictError(group.name);
  const departed = context.departures.of(group.name);
  const written = {...departed.completeRecord(record), generation};
  const result = await context.store.transact({
    conditions: [
      {key: coordinatorKey(generation), revision: coordinatorRevision},
      {
        key: primaryRecordKey(group.name),
        revision: group.storedRecord?.revision ?? 0,
      },
    ],
    puts: [
      {
        key: primaryRecordKey(group.name),
        value: encodePrimaryRecord(group.name, written),
        leaseId: 0,
      },
    ],
  });
  if (result.kind !== 'committed') throw new RecordConflictError(group.name);
  const stored = {record: written, revision: result.revision, generation};
  group.applyRecord(stored);
  return stored;
}
