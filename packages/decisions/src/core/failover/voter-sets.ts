import type {GroupView, LogPosition, VoterSet} from '../groups/index.js';
import {
  hasMajority,
  haveSameNames,
  mergeVoterSets,
  votersOf,
} from '../groups/index.js';
import type {ElectionAttempt, GrantAnswer} from './election-attempt-types.js';
import type {FailoverState, InstanceReport} from './types.js';

/** Entries that a declared instance may lack when it becomes a voter. */
const MAXIMUM_VOTER_LAG = 1_000;

/** Voter sets as an instance reports them. */
type ReportedVoterSets = Pick<GrantAnswer, 'voterSets' | 'proposedVoterSets'>;

/**
 * Lists the voter sets of which a majority each has to grant the next term.
 *
 * An earlier set is required until a majority of the later one is known to hold
 * everything that the earlier one may have confirmed.
 */
export function requiredVoterSets(state: FailoverState): VoterSet[] {
  const {view, assumedVoters, laterVoterSets, establishedTerm} = state;
  if (view === undefined) return [...laterVoterSets];
  const [own, ...earlier] = view.voterSets ?? [
    {term: view.term, instances: assumedVoters},
  ];
  if (own === undefined) return [...laterVoterSets];
  const isEstablished = establishedTerm === view.term;
  const current = isEstablished ? [own] : [own, ...earlier];
  return mergeVoterSets([...laterVoterSets, ...current]);
}

/**
 * Returns the voters to propose for the next term: those of the last one, or the
 * declared instances in a planned change if enough of them have caught up.
 */
export function chooseVoters(
  state: FailoverState,
  isPlanned: boolean,
): Omit<VoterSet, 'term'> {
  const [latest] = requiredVoterSets(state);
  const canAdopt =
    latest === undefined ||
    (isPlanned &&
      isDeclarationNewer(state, latest) &&
      hasDeclaredMajorityCaughtUp(state));
  if (!canAdopt) return latest;
  return {instances: declaredNames(state), version: state.declaredVersion};
}

/** Whether the declared instances should replace the voters of the term. */
export function isVoterChangeDue(state: FailoverState): boolean {
  const {view} = state;
  if (view === undefined || state.laterVoterSets.length > 0) return false;
  const voters = votersOf(view, state.assumedVoters);
  if (haveSameNames(voters, declaredNames(state))) return false;
  const isNewer = isDeclarationNewer(state, view.voterSets?.[0]);
  return isNewer && hasDeclaredMajorityCaughtUp(state);
}

/**
 * Whether the voters were taken from an older declaration than the present one.
 * A process that has yet to receive a declaration must not undo it.
 */
function isDeclarationNewer(
  {declaredVersion}: FailoverState,
  voters: VoterSet | undefined,
): boolean {
  return (
    declaredVersion === undefined || declaredVersion > (voters?.version ?? 0)
  );
}

/** Whether this process reaches a majority of each voter set. */
export function hasReachableQuorum(state: FailoverState): boolean {
  const reachable = [...state.instances]
    .filter(([, known]) => known.isReachable === true)
    .map(([name]) => name);
  const {highestTerm: term} = state;
  const proposed = {...chooseVoters(state, false), term};
  const sets = [proposed, ...requiredVoterSets(state)];
  return sets.every(set => hasMajority(set, reachable));
}

/** Adds the voter sets that an instance reports for later terms. */
export function observeVoterSets(
  state: FailoverState,
  {voterSets = [], proposedVoterSets = []}: ReportedVoterSets,
): FailoverState {
  const reported = [
    ...state.laterVoterSets,
    ...voterSets,
    ...proposedVoterSets,
  ];
  return {
    ...state,
    laterVoterSets: selectLaterVoterSets(reported, state.view),
    knowsLedTerm: state.knowsLedTerm || voterSets.length > 0,
  };
}

/** Selects the voter sets that the voters of a view do not already cover. */
export function selectLaterVoterSets(
  sets: readonly VoterSet[],
  view: GroupView | undefined,
): VoterSet[] {
  const term = view?.term ?? 0;
  const isCovered = ({term: other}: VoterSet): boolean =>
    view?.voterSets === undefined ? other < term : other <= term;
  return mergeVoterSets(sets.filter(set => !isCovered(set)));
}

/**
 * Adds the voter sets that an attempt requires.
 *
 * A process that knows no view cannot tell a new group from one whose instances
 * were all replaced, so it needs every grant until an instance names the voters
 * of a term that was led.
 */
export function requireVoterSets(
  attempt: ElectionAttempt,
  state: FailoverState,
): ElectionAttempt {
  const [own] = attempt.voterSets ?? [];
  const known = requiredVoterSets(state);
  const {term} = attempt;
  const proposed = own ?? {...chooseVoters(state, false), term};
  const others = known.filter(
    set => !haveSameNames(set.instances, proposed.instances),
  );
  const needsEveryGrant = state.view === undefined && !state.knowsLedTerm;
  return {...attempt, voterSets: [proposed, ...others], needsEveryGrant};
}

/** Updates what is known of the start of the view's term by a report. */
export function observeTermStart(
  state: FailoverState,
  report: InstanceReport,
): FailoverState {
  const {view} = state;
  if (view === undefined || report.term !== view.term) return state;
  if (report.instance !== view.primary) return state;
  if (state.termFloor !== undefined) return state;
  return {...state, termFloor: report.position};
}

/** Records whether a majority of the voters holds the start of their term. */
export function updateEstablishedTerm(state: FailoverState): FailoverState {
  const {view, termFloor, establishedTerm} = state;
  const voters = view?.voterSets?.[0];
  if (view === undefined || voters === undefined) return state;
  if (termFloor === undefined || establishedTerm === view.term) return state;
  const holders = voters.instances.filter(name =>
    holdsPosition(state, name, termFloor),
  );
  if (!hasMajority(voters, holders)) return state;
  return {...state, establishedTerm: view.term};
}

/** Whether an instance in the term of the view holds a position of its primary. */
function holdsPosition(
  state: FailoverState,
  name: string,
  floor: LogPosition,
): boolean {
  const term = state.view?.term;
  const report = state.instances.get(name)?.report;
  if (report === undefined || report.term !== term) return false;
  const {position} = report;
  if (position.position < floor.position) return false;
  // Logs whose last entries are of one term have the shorter one in common.
  return position.term === term || position.term === floor.term;
}

/** Whether a majority of the declared instances can confirm writes soon. */
function hasDeclaredMajorityCaughtUp(state: FailoverState): boolean {
  const {view} = state;
  const primary = state.instances.get(view?.primary ?? '')?.report;
  if (view === undefined || primary?.term !== view.term) return false;
  const instances = declaredNames(state);
  const caughtUp = instances.filter(name => {
    const known = state.instances.get(name);
    if (known?.report === undefined || known.isReachable === false)
      return false;
    const {term, grantedTerm, position} = known.report;
    if (term !== view.term || grantedTerm !== view.term) return false;
    const lag = primary.position.position - position.position;
    return lag <= MAXIMUM_VOTER_LAG;
  });
  return hasMajority({term: view.term, instances}, caughtUp);
}

function declaredNames(state: FailoverState): string[] {
  return state.group.instances.map(({name}) => name);
}
