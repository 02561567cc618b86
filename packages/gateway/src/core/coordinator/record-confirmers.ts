import type {GroupInstance} from '@sapphireglade/decisions';
import {formatPosition} from '@sapphireglade/decisions';
import type {DatabaseGroup} from '../groups/index.js';
import type {PrimaryChangeContext} from './primary-change-context.js';
import {
  RecordConflictError,
  writePrimaryRecord,
} from './write-primary-record.js';

/**
 * Returns whether the record of a group names other instances than those that
 * may have confirmed commits of its term.
 */
export function areConfirmersOutdated(
  {departures}: PrimaryChangeContext,
  {name, storedRecord}: DatabaseGroup,
): boolean {
  return (
    storedRecord !== undefined &&
    departures.of(name).isRecordOutdated(storedRecord.record)
  );
}

/**
 * Writes the instances that may have confirmed commits of the term into the
 * record of a steady group, so that the next coordinator knows who is missing.
 *
 * @param context - Dependencies of the coordinator.
 * @param group - The group, which has a record.
 * @throws SapphiregladeError if the store does not respond.
 */
export async function recordConfirmers(
  context: PrimaryChangeContext,
  group: DatabaseGroup,
): Promise<void> {
  const record = group.storedRecord?.record;
  if (record === undefined) return;
  const departed = context.departures.of(group.name);
  const confirmers = departed.confirmersFor(record);
  try {
    await writePrimaryRecord(context, group, {
      ...record,
      // An incarnation that began within the term is not the recorded one.
      primaryBornAtMs:
        record.primaryBornAtMs ??
        context.directory.find(record.primary)?.bornAtMs,
      confirmers,
    });
  } catch (error) {
    // Another proxy has changed the record; the next check compares it again.
    if (!(error instanceof RecordConflictError)) throw error;
    return;
  }
  const before = record.confirmers?.instances ?? [];
  const after = confirmers?.instances ?? [];
  const departedPosition = confirmers?.departedPosition;
  context.log.info(
    'The instances that may have confirmed commits were recorded.',
    {
      group: group.name,
      term: record.term,
      instances: after.map(({id}) => id).join(' '),
      added: idsWithout(after, before),
      removed: idsWithout(before, after),
      departed: departed.unbounded.map(({id}) => id).join(' '),
      departedPosition: departedPosition && formatPosition(departedPosition),
    },
  );
}

/** Returns the ids of the instances that are not among others in the same incarnation. */
function idsWithout(
  instances: readonly GroupInstance[],
  others: readonly GroupInstance[],
): string {
  return instances
    .filter(
      ({id, bornAtMs}) =>
        !others.some(other => other.id === id && other.bornAtMs === bornAtMs),
    )
    .map(({id}) => id)
    .join(' ');
}
