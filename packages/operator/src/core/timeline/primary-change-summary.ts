import type {TimelineEntry, TimelineEvent} from '@sapphireglade/decisions';
import {describeEvent, FAILOVER_EVENTS} from '@sapphireglade/decisions';
import {formatTime} from './timeline-text.js';

/** Longest time between events of one change of primary, in milliseconds. */
const MAXIMUM_EVENT_GAP_MS = 10_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** Event kinds of a change of primary. */
const FailoverEventKind = {
  PlannedChangeBegan: 'planned-change-began',
  WritesHeld: 'writes-held',
  PrimaryMissed: 'primary-missed',
  PrimarySuspected: 'primary-suspected',
  TermRequested: 'term-asked',
  TermGranted: 'term-granted',
  Promoted: 'primary-promoted',
  AttemptFailed: 'attempt-failed',
  ViewPublished: 'view-published',
  WriteUnconfirmed: 'write-unconfirmed',
} as const;

/** Event kinds that mark the phases of a change, in order, with labels. */
const CHANGE_PHASES = [
  [FailoverEventKind.PlannedChangeBegan, 'planned'],
  [FailoverEventKind.PrimaryMissed, 'missed'],
  [FailoverEventKind.PrimarySuspected, 'suspected'],
  [FailoverEventKind.WritesHeld, 'writes held'],
  [FailoverEventKind.TermRequested, 'term requested'],
  [FailoverEventKind.TermGranted, 'granted'],
  [FailoverEventKind.Promoted, 'promoted'],
  [FailoverEventKind.ViewPublished, 'view published'],
] as const;

/** Event kinds that start a new change if they belong to a later term. */
const INITIAL_EVENT_KINDS: ReadonlySet<string> = new Set([
  FailoverEventKind.PlannedChangeBegan,
  FailoverEventKind.PrimaryMissed,
  FailoverEventKind.PrimarySuspected,
]);

/** Step of a change of primary. */
export interface PrimaryChangeStep {
  readonly process: string;
  readonly kind: string;
  readonly sentence: string;
  readonly fields: TimelineEvent['fields'];
  /** Wall clock time, in milliseconds since 1970. */
  readonly wallMs: number;
  /** Time since the first step, in milliseconds. */
  readonly sinceStartMs: number;
  /** Time since the previous step, in milliseconds. */
  readonly sincePreviousMs: number;
}

/** Steps of one completed or attempted change of primary. */
export interface PrimaryChangeSummary {
  readonly group: string;
  readonly steps: readonly PrimaryChangeStep[];
  /** Number of writes that ran during the change and were not confirmed. */
  readonly unconfirmedWrites: number;
}

/**
 * Finds the changes of primary in a timeline.
 *
 * @param entries - Entries of the merged timeline.
 * @returns Changes in the order of their first step.
 */
export function findPrimaryChanges(
  entries: readonly TimelineEntry[],
): PrimaryChangeSummary[] {
  const currentChanges = new Map<string, TimelineEvent[]>();
  const all: TimelineEvent[][] = [];
  for (const event of selectFailoverEvents(entries)) {
    const group = String(event.fields['group']);
    const changeEvents = currentChanges.get(group);
    if (changeEvents !== undefined && isSameChange(changeEvents, event)) {
      changeEvents.push(event);
      continue;
    }
    const newChange = [event];
    currentChanges.set(group, newChange);
    all.push(newChange);
  }
  return all.map(summarizeChange).filter(change => change.steps.length > 0);
}

/**
 * Formats changes of primary for an on-call operator: a headline, then details.
 *
 * @param changes - Result of {@link findPrimaryChanges}.
 */
export function formatPrimaryChanges(
  changes: readonly PrimaryChangeSummary[],
): string[] {
  return changes.flatMap(change => [
    formatHeadline(change),
    ...formatPhaseDurations(change).map(line => `  ${line}`),
    ...change.steps.map(formatStep),
    '',
  ]);
}

/** Formats the headline of a change of primary: its start and its result. */
export function formatHeadline(change: PrimaryChangeSummary): string {
  const start = formatTime(change.steps[0]!.wallMs);
  const promoted = findLastStep(change, FailoverEventKind.Promoted);
  if (promoted !== undefined) {
    const {primary, term} = promoted.fields;
    const seconds = promoted.sinceStartMs / MILLISECONDS_PER_SECOND;
    return `${change.group}: ${primary} became primary in term ${term}, ${seconds.toFixed(2)} s after the first sign at ${start}.`;
  }
  const failed = findLastStep(change, FailoverEventKind.AttemptFailed);
  if (failed !== undefined) {
    return `${change.group}: NO change of primary since the first sign at ${start}; the last attempt failed: ${failed.fields['reason']}.`;
  }
  return `${change.group}: signs of a failure since ${start}, but no change of primary.`;
}

/**
 * Formats the phases of a change in a few lines.
 *
 * @returns Duration of each phase and the number of unconfirmed writes.
 */
export function formatPhaseDurations(change: PrimaryChangeSummary): string[] {
  const phases = CHANGE_PHASES.flatMap(([kind, label]) => {
    const step = change.steps.find(candidate => candidate.kind === kind);
    return step === undefined ? [] : [{label, step}];
  });
  const durations = phases.map(({label, step}, index) => {
    const previous = phases[index - 1]?.step ?? step;
    return `${label} +${step.wallMs - previous.wallMs} ms (${step.process})`;
  });
  const phaseLine =
    durations.length < 2 ? [] : [`Phases: ${durations.join(', ')}.`];
  const {unconfirmedWrites} = change;
  const writes =
    unconfirmedWrites === 0
      ? []
      : [
          `Writes that ran during the change and were not confirmed: ${unconfirmedWrites}.`,
        ];
  return [...phaseLine, ...writes];
}

function formatStep(step: PrimaryChangeStep): string {
  const offset = `+${step.sinceStartMs} ms`.padStart(10);
  const duration = `(${step.sincePreviousMs} ms)`.padStart(10);
  return `${offset} ${duration}  ${step.process}: ${step.sentence}`;
}

function findLastStep(
  change: PrimaryChangeSummary,
  kind: string,
): PrimaryChangeStep | undefined {
  return change.steps.findLast(step => step.kind === kind);
}

function selectFailoverEvents(
  entries: readonly TimelineEntry[],
): TimelineEvent[] {
  return entries
    .filter(entry => entry.type === 'event')
    .map(entry => entry.event)
    .filter(event => Object.hasOwn(FAILOVER_EVENTS, event.kind))
    .filter(event => event.fields['group'] !== undefined);
}

/** Returns whether an event belongs to the same change as earlier events. */
function isSameChange(
  earlier: readonly TimelineEvent[],
  event: TimelineEvent,
): boolean {
  const last = earlier.at(-1)!;
  if (event.at.wallMs - last.at.wallMs > MAXIMUM_EVENT_GAP_MS) return false;
  if (!INITIAL_EVENT_KINDS.has(event.kind)) return true;
  return findReplacedTerm(event) <= Math.max(...earlier.map(findReplacedTerm));
}

/** Returns the term whose primary is failing or replaced, by the event. */
function findReplacedTerm({kind, fields}: TimelineEvent): number {
  const term = Number(fields['term']);
  if (INITIAL_EVENT_KINDS.has(kind)) return term;
  return kind === FailoverEventKind.Promoted ? term - 1 : -Infinity;
}

function summarizeChange(
  events: readonly TimelineEvent[],
): PrimaryChangeSummary {
  const stepEvents = events.filter(
    event => event.kind !== FailoverEventKind.WriteUnconfirmed,
  );
  const steps = stepEvents.map((event, index) =>
    createStep(stepEvents, event, index),
  );
  return {
    group: String(events[0]!.fields['group']),
    steps,
    unconfirmedWrites: events.length - stepEvents.length,
  };
}

function createStep(
  events: readonly TimelineEvent[],
  event: TimelineEvent,
  index: number,
): PrimaryChangeStep {
  const first = events[0]!;
  const previous = events[index - 1] ?? first;
  return {
    process: event.process,
    kind: event.kind,
    sentence: describeEvent(event),
    fields: event.fields,
    wallMs: event.at.wallMs,
    sinceStartMs: event.at.wallMs - first.at.wallMs,
    sincePreviousMs: event.at.wallMs - previous.at.wallMs,
  };
}
