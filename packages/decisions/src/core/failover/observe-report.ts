import type {GroupView} from '../groups/index.js';
import {comparePositions, InstanceRole} from '../groups/index.js';
import {adoptView} from './adopt-view.js';
import {observeTermStart, observeVoterSets} from './voter-sets.js';
import type {FailoverState, InstanceReport, KnownInstance} from './types.js';

/** An instance's report with the time of its request. */
export interface ObservedReport {
  readonly report: InstanceReport;
  /** When the request was sent, monotonic, in milliseconds. */
  readonly askedAtMs: number;
}

/**
 * Derives the view of the group from the report of a primary.
 *
 * An instance is primary of a term only if a majority granted that term, so its
 * own report is sufficient, whichever coordinator promoted it.
 *
 * @returns The view, or undefined if the instance is not a working primary.
 */
export function viewFromReport(
  group: string,
  report: InstanceReport,
): GroupView | undefined {
  if (report.role !== InstanceRole.Primary) return undefined;
  if (report.grantedTerm !== report.term || report.term === 0) return undefined;
  const {instance, term, termStarts, voterSets} = report;
  return {group, term, primary: instance, termStarts, voterSets};
}

/** Applies the report of an instance to the state. */
export function observeReport(
  state: FailoverState,
  observed: ObservedReport,
  nowMs: number,
): FailoverState {
  const {report, askedAtMs} = observed;
  const known = state.instances.get(report.instance);
  if (known === undefined || isOutdated(known, observed)) return state;
  const reportedView = viewFromReport(state.group.name, report);
  const adopted =
    reportedView === undefined ? state : adoptView(state, reportedView, nowMs);
  const lastAskedAtMs = Math.max(known.askedAtMs, askedAtMs);
  const hasHigherTerm = report.grantedTerm > (adopted.view?.term ?? 0);
  const higherSinceMs = hasHigherTerm
    ? (known.higherTermSinceMs ?? nowMs)
    : undefined;
  const updated: KnownInstance = {
    report,
    askedAtMs: lastAskedAtMs,
    answeredAtMs: nowMs,
    isReachable: true,
    higherTermSinceMs: higherSinceMs,
  };
  const isRaised = report.grantedTerm > state.highestTerm;
  return {
    ...observeTermStart(observeVoterSets(adopted, report), report),
    instances: new Map(state.instances).set(report.instance, updated),
    highestTerm: Math.max(adopted.highestTerm, report.grantedTerm),
    termRaisedAtMs: isRaised ? nowMs : state.termRaisedAtMs,
  };
}

/**
 * Whether a newer report of the instance was already received. A report is
 * newer if its request was sent after the latest report had arrived.
 */
function isOutdated(known: KnownInstance, observed: ObservedReport): boolean {
  if (known.report === undefined) return false;
  if (observed.askedAtMs >= known.answeredAtMs) return false;
  return compareReports(observed.report, known.report) < 0;
}

/** Compares two reports of one instance by term and log position. */
function compareReports(left: InstanceReport, right: InstanceReport): number {
  return (
    left.grantedTerm - right.grantedTerm ||
    left.term - right.term ||
    comparePositions(left.position, right.position)
  );
}
