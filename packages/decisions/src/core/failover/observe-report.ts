import type {GroupView} from '../groups/index.js';
import {comparePositions, InstanceRole} from '../groups/index.js';
import {adoptView} from './adopt-view.js';
import type {FailoverState, InstanceReport, KnownInstance} from './types.js';

/** An instance's report with the time of the question. */
export interface ObservedReport {
  readonly report: InstanceReport;
  /** When the question was sent, monotonic, in milliseconds. */
  readonly askedAtMs: number;
}

/**
 * Reads from a report who leads the group.
 *
 * An instance is primary of a term only if a majority granted that term, so
 * its own word is enough, whoever promoted it.
 *
 * @returns The view, or undefined if the instance is not a working primary.
 */
export function viewFromReport(
  group: string,
  report: InstanceReport,
): GroupView | undefined {
  if (report.role !== InstanceRole.Primary) return undefined;
  if (report.grantedTerm !== report.term || report.term === 0) return undefined;
  const {instance, term, termStarts} = report;
  return {group, term, primary: instance, termStarts};
}

/** Takes a report of an instance into the state. */
export function observeReport(
  state: FailoverState,
  observed: ObservedReport,
  nowMs: number,
): FailoverState {
  const {report, askedAtMs} = observed;
  const known = state.instances.get(report.instance);
  if (known === undefined || isOutdated(known, observed)) return state;
  const shown = viewFromReport(state.group.name, report);
  const adopted = shown === undefined ? state : adoptView(state, shown, nowMs);
  const lastAskedAtMs = Math.max(known.askedAtMs, askedAtMs);
  const isAhead = report.grantedTerm > (adopted.view?.term ?? 0);
  const aheadSinceMs = isAhead ? (known.higherTermSinceMs ?? nowMs) : undefined;
  const updated: KnownInstance = {
    report,
    askedAtMs: lastAskedAtMs,
    answeredAtMs: nowMs,
    isReachable: true,
    higherTermSinceMs: aheadSinceMs,
  };
  const isRaised = report.grantedTerm > state.highestTerm;
  return {
    ...adopted,
    instances: new Map(state.instances).set(report.instance, updated),
    highestTerm: Math.max(adopted.highestTerm, report.grantedTerm),
    termRaisedAtMs: isRaised ? nowMs : state.termRaisedAtMs,
  };
}

/**
 * Whether a later answer of the instance has been seen already. An answer to
 * a question that was sent after the latest answer had arrived is later.
 */
function isOutdated(known: KnownInstance, observed: ObservedReport): boolean {
  if (known.report === undefined) return false;
  if (observed.askedAtMs >= known.answeredAtMs) return false;
  return compareReports(observed.report, known.report) < 0;
}

/** Orders two reports of one instance by its progress. */
function compareReports(left: InstanceReport, right: InstanceReport): number {
  return (
    left.grantedTerm - right.grantedTerm ||
    left.term - right.term ||
    comparePositions(left.position, right.position)
  );
}
