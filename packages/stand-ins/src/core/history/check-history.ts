import {majorityOf, Outcome} from '@sapphireglade/decisions';
import type {SqlValue} from '@sapphireglade/protocol';
import type {
  History,
  InstanceHistory,
  RecordedWrite,
  Violation,
} from './types.js';
import {ViolationKind} from './types.js';

/** State of a group at the end of a history. */
interface FinalGroupState {
  readonly name: string;
  readonly instances: readonly InstanceHistory[];
  /** Number of changes in the final primary's log by key. */
  readonly kept: ReadonlyMap<SqlValue, number>;
}

/**
 * Checks a history against the logs of the final primaries.
 *
 * @param history - Recorded requests and the histories of the instances.
 * @returns All violations; empty if the history is correct.
 */
export function checkHistory(history: History): Violation[] {
  const names = new Set(history.instances.map(({group}) => group));
  return [...names].flatMap(name => checkGroup(name, history));
}

function checkGroup(name: string, history: History): Violation[] {
  const instances = history.instances.filter(({group}) => group === name);
  const primary = findFinalPrimary(instances);
  if (primary === undefined) {
    const details = 'No instance is primary.';
    return [
      {kind: ViolationKind.NoFinalPrimary, group: name, key: null, details},
    ];
  }
  const group = {name, instances, kept: countKeys(primary)};
  const writes = history.writes.filter(write => write.group === name);
  const reads = history.reads.filter(read => read.group === name);
  return [
    ...writes.flatMap(write => checkWrite(write, group)),
    ...reads
      .filter(read => read.outcome === Outcome.Done && !read.wasFound)
      .map(({key}) => ({
        kind: ViolationKind.OwnWriteNotRead,
        group: name,
        key,
        details: 'The session did not read its own booking back.',
      })),
  ];
}

/** Returns the primary of the highest term. */
function findFinalPrimary(
  instances: readonly InstanceHistory[],
): InstanceHistory | undefined {
  return instances
    .filter(({role}) => role === 'primary')
    .sort((left, right) => left.term - right.term)
    .at(-1);
}

function countKeys({entries}: InstanceHistory): Map<SqlValue, number> {
  const counts = new Map<SqlValue, number>();
  for (const {changes} of entries) {
    for (const {key} of changes) counts.set(key, (counts.get(key) ?? 0) + 1);
  }
  return counts;
}

function checkWrite(write: RecordedWrite, group: FinalGroupState): Violation[] {
  const kept = group.kept.get(write.key) ?? 0;
  const results: Array<Violation | undefined> = [
    checkLostOrDuplicate(write, kept),
    checkNotRun(write, kept, group),
    checkDuplicateRuns(write, group),
    checkStaleAcknowledgement(write, group),
  ];
  return results.filter(violation => violation !== undefined);
}

function checkLostOrDuplicate(
  write: RecordedWrite,
  kept: number,
): Violation | undefined {
  if (write.outcome === Outcome.Done && kept === 0) {
    const details = `Acknowledged in term ${write.term}.`;
    return createViolation(ViolationKind.LostWrite, write, details);
  }
  if (kept <= 1) return undefined;
  const details = `It is in the log of the final primary ${kept} times.`;
  return createViolation(ViolationKind.DuplicateWrite, write, details);
}

function checkNotRun(
  write: RecordedWrite,
  kept: number,
  group: FinalGroupState,
): Violation | undefined {
  if (write.outcome !== Outcome.NotRun) return undefined;
  const runs = countRuns(write, group);
  if (kept === 0 && runs === 0) return undefined;
  const details = `It ran ${runs} times and was kept ${kept} times.`;
  return createViolation(ViolationKind.FalseNotRun, write, details);
}

function checkDuplicateRuns(
  write: RecordedWrite,
  group: FinalGroupState,
): Violation | undefined {
  const runs = countRuns(write, group);
  if (write.idempotent || runs <= 1) return undefined;
  const details = `It ran ${runs} times.`;
  return createViolation(ViolationKind.RanTwice, write, details);
}

function countRuns({key}: RecordedWrite, {instances}: FinalGroupState): number {
  return instances.reduce((sum, {runs}) => sum + (runs.get(key) ?? 0), 0);
}

/**
 * Finds a write that was acknowledged in a term although a majority had granted
 * a higher one before the write was sent.
 */
function checkStaleAcknowledgement(
  write: RecordedWrite,
  {instances}: FinalGroupState,
): Violation | undefined {
  const {term, outcome, startedAt} = write;
  if (outcome !== Outcome.Done || term === undefined) return undefined;
  const supersededAt = findTermSupersededAt(term, instances);
  if (supersededAt === undefined || startedAt <= supersededAt) return undefined;
  const lateMs = startedAt - supersededAt;
  const details = `Sent ${lateMs} ms after a majority had granted a term above ${term}.`;
  return createViolation(ViolationKind.StaleAcknowledgement, write, details);
}

/** Returns when a majority had granted terms above this one, if it did. */
function findTermSupersededAt(
  term: number,
  instances: readonly InstanceHistory[],
): number | undefined {
  const times = instances
    .map(({termEvents}) => termEvents.find(event => event.term > term)?.at)
    .filter(at => at !== undefined)
    .sort((left, right) => left - right);
  return times[majorityOf(instances.length) - 1];
}

function createViolation(
  kind: ViolationKind,
  {group, key}: RecordedWrite,
  details: string,
): Violation {
  return {kind, group, key, details};
}
