import {InstanceRole, majorityOf} from '../groups/index.js';
import type {GroupResource} from '../resources/index.js';
import type {
  FailoverPolicy,
  FailoverState,
  KnownInstance,
  PrimaryAssessment,
  SuspicionReport,
} from './types.js';

/** A finding about the primary at one point in time. */
interface PrimaryFinding {
  readonly isMissing: boolean;
  readonly reason: string;
}

/** Finding for a primary that works. */
const PRIMARY_WORKING: PrimaryFinding = {isMissing: false, reason: ''};

/**
 * Assesses from this process's own observations whether the group has a working
 * primary.
 *
 * @returns The assessment, with `sinceMs` kept while `isMissing` is unchanged.
 */
export function assessPrimary(
  state: FailoverState,
  nowMs: number,
): PrimaryAssessment {
  const finding = evaluatePrimary(state);
  const previous = state.assessment;
  const isSame = previous?.isMissing === finding.isMissing;
  if (isSame && previous !== undefined) {
    return {...previous, reason: finding.reason};
  }
  return {...finding, sinceMs: nowMs};
}

/** Whether the primary has been missing long enough to report it. */
export function isConfirmedMissing(
  assessment: PrimaryAssessment | undefined,
  nowMs: number,
  policy: FailoverPolicy,
): boolean {
  if (assessment?.isMissing !== true) return false;
  if (assessment.reason.startsWith(UNREACHABLE_PREFIX)) return true;
  return nowMs - assessment.sinceMs >= policy.steppedDownGraceMs;
}

/**
 * Lists the zones that report the primary of the current term missing.
 *
 * Only reports of the same or a higher term count, and only recent ones, so that
 * a zone which no longer sends reports does not count as suspecting.
 */
export function suspectingZones(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): string[] {
  const zones = zonesOf(state.group);
  return zones.filter(zone => {
    if (zone === state.zone) {
      return isConfirmedMissing(state.assessment, nowMs, policy);
    }
    const report = state.suspicionReports.get(zone);
    if (report?.isMissing !== true) return false;
    if (report.term < (state.view?.term ?? 0)) return false;
    return nowMs - report.receivedAtMs < policy.reportValidityMs;
  });
}

/** Whether a majority of the group's zones report the primary missing. */
export function isPrimarySuspected(
  state: FailoverState,
  nowMs: number,
  policy: FailoverPolicy,
): boolean {
  const isMissingHere = state.assessment?.isMissing === true;
  if (!isMissingHere && state.suspicionReports.size === 0) return false;
  const needed = majorityOf(zonesOf(state.group).length);
  return suspectingZones(state, nowMs, policy).length >= needed;
}

/** Builds the report that this process sends to the other zones. */
export function buildSuspicionReport(state: FailoverState): SuspicionReport {
  return {
    group: state.group.name,
    zone: state.zone,
    reporter: state.self,
    term: state.view?.term ?? 0,
    isMissing: state.assessment?.isMissing ?? false,
    reason: state.assessment?.reason ?? '',
  };
}

/** Returns the zones in which a group has instances, sorted. */
export function zonesOf(group: GroupResource): string[] {
  return [...new Set(group.instances.map(({zone}) => zone))].sort();
}

/** Prefix of the reason of a finding that is reported without delay. */
const UNREACHABLE_PREFIX = 'unreachable: ';

function evaluatePrimary(state: FailoverState): PrimaryFinding {
  const {view} = state;
  if (view === undefined) return primaryMissing('no primary is known');
  const known = state.instances.get(view.primary);
  if (known === undefined) return primaryMissing('the primary is not declared');
  if (known.isReachable === false) {
    return primaryMissing(UNREACHABLE_PREFIX + (known.reason ?? 'no answer'));
  }
  // A report that was requested before the view was adopted may predate it.
  if (known.askedAtMs <= state.viewAdoptedAtMs) return PRIMARY_WORKING;
  return evaluatePrimaryReport(known, view.term);
}

/** Evaluates the last report of a reachable primary. */
function evaluatePrimaryReport(
  {report}: KnownInstance,
  term: number,
): PrimaryFinding {
  if (report === undefined) return PRIMARY_WORKING;
  if (report.grantedTerm > term) {
    return primaryMissing('the primary has granted a higher term');
  }
  const isPrimary =
    report.role === InstanceRole.Primary && report.term === term;
  return isPrimary
    ? PRIMARY_WORKING
    : primaryMissing('the instance is not primary');
}

function primaryMissing(reason: string): PrimaryFinding {
  return {isMissing: true, reason};
}
