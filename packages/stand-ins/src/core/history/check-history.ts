import {majorityOf, Outcome} from '@sapphireglade/decisions';
import type {SqlValue} from '@sapphireglade/protocol';
import type {
  History,
  InstanceHistory,
  RecordedWrite,
  Violation,
} from './types.js';
import {ViolationKind} from './types.js';

/** A group at the end of a history. */
interface FinalGroupState {
  readonly name: string;
  readonly instances: readonly InstanceHistory[];
  /** How often the final primary's log has each key. */
  readonly kept: ReadonlyMap<SqlValue, number>;
}

/**
 * Checks a whole history against the rows that the final primaries have.
 *
 * @param history - What callers were told and what the instances have.
 * @returns Everything that the history breaks; nothing if it is right.
 */
export function checkHistory(history: History): Violation[] {
  const names = new Set(history.instances.map(({group}) => group));
  return [...names].flatMap(name => checkGroup(name, history));
}

function checkGroup(name: string, history: History): Violation[] {
  const instances = history.instances.filter(({group}) => group === name);
  const primary = findFinalPrimary(instances);
  if (primary === undefined) {
    const details = 'No instance leads in the highest term.';
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
        details: 'The session had written it and did not read it.',
      })),
  ];
}

/** The primary of the highest term that any instance leads in. */
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
  const found: Array<Violation | undefined> = [
    checkLostOrDuplicate(write, kept),
    checkNotRun(write, kept, group),
    checkDuplicateRuns(write, group),
    checkStaleAcknowledgement(write, group),
  ];
  return found.filter(violation => violation !== undefined);
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
  const details = `The final primary has it ${kept} times.`;
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
 * A write that was sent after a majority had granted a higher term cannot be
 * acknowledged in the lower one.
 */
function checkStaleAcknowledgement(
  write: RecordedWrite,
  {instances}: FinalGroupState,
): Violation | undefined {
  const {term, outcome, startedAt} = write;
  if (outcome !== Outcome.Done || term === undefined) return undefined;
  const replacedAt = findTermSupersededAt(term, instances);
  if (replacedAt === undefined || startedAt <= replacedAt) return undefined;
  const lateMs = startedAt - replacedAt;
  const details = `Sent ${lateMs} ms after a majority had left term ${term}.`;
  return createViolation(ViolationKind.StaleAcknowledgement, write, details);
}

/** When a majority had granted terms above this one, if it ever had. */
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
