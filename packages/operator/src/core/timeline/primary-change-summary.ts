import type {TimelineEntry, TimelineEvent} from '@sapphireglade/decisions';
import {describeEvent, FAILOVER_EVENTS} from '@sapphireglade/decisions';
import {formatTime} from './timeline-text.js';

/** A longer silence begins a new change of primary, in milliseconds. */
const MAXIMUM_EVENT_GAP_MS = 10_000;

const MILLISECONDS_PER_SECOND = 1_000;

/** The kinds that mark the course of a change of primary. */
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

/** The course of a change, in its order, with a word for each mark. */
const CHANGE_PHASES = [
  [FailoverEventKind.PlannedChangeBegan, 'planned'],
  [FailoverEventKind.PrimaryMissed, 'missed'],
  [FailoverEventKind.PrimarySuspected, 'suspected'],
  [FailoverEventKind.WritesHeld, 'writes held'],
  [FailoverEventKind.TermRequested, 'term asked for'],
  [FailoverEventKind.TermGranted, 'granted'],
  [FailoverEventKind.Promoted, 'promoted'],
  [FailoverEventKind.ViewPublished, 'others told'],
] as const;

/** Kinds that begin a new change where their term is newer. */
const INITIAL_EVENT_KINDS: ReadonlySet<string> = new Set([
  FailoverEventKind.PlannedChangeBegan,
  FailoverEventKind.PrimaryMissed,
  FailoverEventKind.PrimarySuspected,
]);

/** One step of a change of primary. */
export interface PrimaryChangeStep {
  readonly process: string;
  readonly kind: string;
  readonly sentence: string;
  readonly fields: TimelineEvent['fields'];
  /** When it happened, in milliseconds since 1970. */
  readonly wallMs: number;
  /** Time since the first step, in milliseconds. */
  readonly sinceStartMs: number;
  /** Time since the step before, in milliseconds. */
  readonly sincePreviousMs: number;
}

/** The steps of one change of primary, or of an attempt. */
export interface PrimaryChangeSummary {
  readonly group: string;
  readonly steps: readonly PrimaryChangeStep[];
  /** Writes that ran meanwhile and were not confirmed in time. */
  readonly unconfirmedWrites: number;
}

/**
 * Finds the changes of primary in a time line.
 *
 * @param entries - The merged time line.
 * @returns The changes by their first step.
 */
export function findPrimaryChanges(
  entries: readonly TimelineEntry[],
): PrimaryChangeSummary[] {
  const open = new Map<string, TimelineEvent[]>();
  const all: TimelineEvent[][] = [];
  for (const event of selectFailoverEvents(entries)) {
    const group = String(event.fields['group']);
    const episode = open.get(group);
    if (episode !== undefined && isSameChange(episode, event)) {
      episode.push(event);
      continue;
    }
    const created = [event];
    open.set(group, created);
    all.push(created);
  }
  return all.map(summarizeChange).filter(change => change.steps.length > 0);
}

/**
 * Writes changes of primary for someone who has just been woken.
 *
 * @param changes - From {@link findPrimaryChanges}.
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

/** The headline of a change of primary: when it began and how it ended. */
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
  return `${change.group}: signs of trouble from ${start}, and no change of primary.`;
}

/**
 * The course of a change in a few lines.
 *
 * @returns How long each part took, and how many writes were not confirmed.
 */
export function formatPhaseDurations(change: PrimaryChangeSummary): string[] {
  const marks = CHANGE_PHASES.flatMap(([kind, word]) => {
    const step = change.steps.find(candidate => candidate.kind === kind);
    return step === undefined ? [] : [{word, step}];
  });
  const parts = marks.map(({word, step}, index) => {
    const previous = marks[index - 1]?.step ?? step;
    return `${word} +${step.wallMs - previous.wallMs} ms (${step.process})`;
  });
  const course = parts.length < 2 ? [] : [`Course: ${parts.join(', ')}.`];
  const {unconfirmedWrites} = change;
  const writes =
    unconfirmedWrites === 0
      ? []
      : [
          `Writes that ran meanwhile and were not confirmed: ${unconfirmedWrites}.`,
        ];
  return [...course, ...writes];
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

/** Says whether an event belongs to the change that an episode shows. */
function isSameChange(
  episode: readonly TimelineEvent[],
  event: TimelineEvent,
): boolean {
  const last = episode.at(-1)!;
  if (event.at.wallMs - last.at.wallMs > MAXIMUM_EVENT_GAP_MS) return false;
  if (!INITIAL_EVENT_KINDS.has(event.kind)) return true;
  return findReplacedTerm(event) <= Math.max(...episode.map(findReplacedTerm));
}

/** The term whose primary an event is about to lose or has replaced. */
function findReplacedTerm({kind, fields}: TimelineEvent): number {
  const term = Number(fields['term']);
  if (INITIAL_EVENT_KINDS.has(kind)) return term;
  return kind === FailoverEventKind.Promoted ? term - 1 : -Infinity;
}

function summarizeChange(
  events: readonly TimelineEvent[],
): PrimaryChangeSummary {
  const marking = events.filter(
    event => event.kind !== FailoverEventKind.WriteUnconfirmed,
  );
  const steps = marking.map((event, index) =>
    createStep(marking, event, index),
  );
  return {
    group: String(events[0]!.fields['group']),
    steps,
    unconfirmedWrites: events.length - marking.length,
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
