import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  GroupFreshness,
  InstanceObservation,
  ReadCandidate,
  ReadDecision,
  ReadRequest,
} from '../../src/index.js';
import {
  NetworkDistance,
  emptyFreshness,
  InstanceRole,
  observeInstance,
  routeRead,
} from '../../src/index.js';

const VIEW = {group: 'ledger-1', term: 1, primary: 'a', termStarts: []};
const PARAMETERS = {instanceCount: 3, allowedAgeMs: 1_000};
const NOW_MS = 10_000;
const REQUEST: ReadRequest = {
  minimumPosition: {term: 0, position: 0},
  allowedAgeMs: 1_000,
  deadlineAtMs: NOW_MS + 500,
  waitedMs: 0,
};
const PRIMARY = candidate('a', NetworkDistance.SameZone, 1);
const NEAR = candidate('b', NetworkDistance.SameRegion, 1);
const FAR = candidate('c', NetworkDistance.PaidLink, 16);

/** One case: the candidates, the read and the expected decision. */
interface Row {
  readonly name: string;
  readonly candidates?: readonly ReadCandidate[];
  readonly request?: Partial<ReadRequest>;
  readonly freshness?: GroupFreshness;
  readonly expected: string;
}

const ROWS: Row[] = [
  {name: 'a replica rather than an idle primary', expected: 'run b'},
  {
    name: 'the own region rather than the paid link',
    candidates: [NEAR, FAR],
    expected: 'run b',
  },
  {
    name: 'the primary of the own region rather than the paid link',
    candidates: [PRIMARY, FAR],
    expected: 'run a',
  },
  {
    name: 'the paid link when the slots of the region are full',
    candidates: [busy(PRIMARY, 100), busy(NEAR, 100), FAR],
    expected: 'run c',
  },
  {
    name: 'the primary when the replicas are full',
    candidates: [PRIMARY, busy(NEAR, 60), busy(FAR, 60)],
    expected: 'run a',
  },
  {
    name: 'the replica that has reached the position of the session',
    request: {minimumPosition: {term: 1, position: 96}},
    expected: 'run b',
  },
  {
    name: 'the primary when the replica needs longer to catch up',
    request: {minimumPosition: {term: 1, position: 100}},
    expected: 'run a',
  },
  {
    name: 'a wait when the primary is not available',
    candidates: [NEAR],
    request: {minimumPosition: {term: 1, position: 100}},
    expected: 'wait',
  },
  {
    name: 'a wait when only the session has seen the term',
    request: {minimumPosition: {term: 2, position: 1}},
    expected: 'wait',
  },
  {
    name: 'a refusal when the term stays unknown',
    request: {minimumPosition: {term: 2, position: 1}, waitedMs: 300},
    expected: 'refuse no-fresh-replica',
  },
  {
    name: 'the primary when nothing proves so small an age',
    request: {allowedAgeMs: 0},
    expected: 'run a',
  },
  {
    name: 'a refusal when nothing proves the age and the primary is not available',
    candidates: [NEAR, FAR],
    request: {allowedAgeMs: 0},
    expected: 'refuse no-fresh-replica',
  },
  {
    name: 'a refusal when no instance can answer in time',
    candidates: [busy(PRIMARY, 900), busy(NEAR, 900)],
    expected: 'refuse deadline',
  },
  {
    name: 'a refusal when there is no connection',
    candidates: [],
    expected: 'refuse no-connection',
  },
  {
    name: 'no replica that is in an older term',
    candidates: [NEAR],
    freshness: observe(observedFreshness(), observation('b', 96, {term: 0})),
    expected: 'refuse no-fresh-replica',
  },
  {
    name: 'no replica that has granted a higher term',
    candidates: [NEAR],
    freshness: observe(
      observedFreshness(),
      observation('b', 96, {grantedTerm: 2}),
    ),
    expected: 'refuse no-fresh-replica',
  },
];

describe('routeRead', () => {
  for (const row of ROWS) {
    it(`chooses ${row.name}`, () => {
      const decision = routeRead(
        row.freshness ?? observedFreshness(),
        row.candidates ?? [PRIMARY, NEAR, FAR],
        {...REQUEST, ...row.request},
        NOW_MS,
        0,
      );
      expect(describeDecision(decision)).toEqual(row.expected);
    });
  }

  it('requires a replica to satisfy both the session and the allowed age', () => {
    const request = {...REQUEST, minimumPosition: {term: 1, position: 96}};
    const decision = routeRead(observedFreshness(), [NEAR], request, NOW_MS, 0);
    expect(decision).toEqual({
      action: 'run',
      instance: 'b',
      role: InstanceRole.Replica,
      minimumPosition: {term: 1, position: 96},
    });
  });

  it('returns since when the leadership of the primary must be confirmed', () => {
    const decision = routeRead(
      observedFreshness(),
      [PRIMARY],
      REQUEST,
      NOW_MS,
      0,
    );
    expect(decision).toEqual({
      action: 'run',
      instance: 'a',
      role: InstanceRole.Primary,
      minimumPosition: {term: 0, position: 0},
      leaderSinceMs: NOW_MS - 1_000,
    });
  });

  it('spreads reads over replicas of equal cost', () => {
    const twin = {...FAR, distance: NEAR.distance, roundTripMs: 1};
    const chosen = [0, 0.3, 0.6, 0.9].map(random =>
      describeDecision(
        routeRead(observedFreshness(), [NEAR, twin], REQUEST, NOW_MS, random),
      ),
    );
    expect(chosen).toEqual(['run b', 'run b', 'run c', 'run c']);
  });
});

describe('a replica that falls behind', () => {
  it('is excluded once and readmitted once when its lag oscillates around the bound', () => {
    let state = emptyFreshness(VIEW);
    const changes: string[] = [];
    let wasExcluded = false;
    for (let nowMs = 0; nowMs < 60_000; nowMs += 20) {
      const lagMs = oscillatingLag(nowMs);
      state = observe(state, observation('a', nowMs, {}, nowMs));
      state = observe(state, observation('c', nowMs, {}, nowMs));
      const behind = Math.max(0, nowMs - lagMs);
      state = observe(state, observation('b', behind, {}, nowMs));
      const isExcluded = state.lags.get('b')?.isExcluded === true;
      if (isExcluded !== wasExcluded)
        changes.push(isExcluded ? 'left' : 'returned');
      wasExcluded = isExcluded;
    }
    expect(changes).toEqual(['left', 'returned']);
  });
});

/** Small, then oscillating between 0.8 and 1.2 times the bound, then small. */
function oscillatingLag(nowMs: number): number {
  if (nowMs < 10_000 || nowMs > 40_000) return 100;
  return 1_000 * (1 + 0.2 * Math.sin(nowMs / 150));
}

/** The primary is at 100, b at 96 and c at 90, after a second of history. */
function observedFreshness(): GroupFreshness {
  let state = emptyFreshness(VIEW);
  for (let position = 0; position <= 100; position += 1) {
    const sentAtMs = NOW_MS - 1_010 + position * 10;
    state = observe(state, observation('a', position, {}, sentAtMs));
    state = observe(
      state,
      observation('b', Math.max(0, position - 4), {}, sentAtMs),
    );
    state = observe(
      state,
      observation('c', Math.max(0, position - 10), {}, sentAtMs),
    );
  }
  return state;
}

function observation(
  instance: string,
  position: number,
  changes: Partial<InstanceObservation>,
  sentAtMs = NOW_MS - 1,
): InstanceObservation {
  return {
    instance,
    role: instance === 'a' ? InstanceRole.Primary : InstanceRole.Replica,
    term: 1,
    grantedTerm: 1,
    position: {term: 1, position},
    sentAtMs,
    answeredAtMs: sentAtMs,
    ...changes,
  };
}

function observe(
  state: GroupFreshness,
  observation: InstanceObservation,
): GroupFreshness {
  return observeInstance(state, observation, PARAMETERS);
}

function candidate(
  instance: string,
  distance: NetworkDistance,
  roundTripMs: number,
): ReadCandidate {
  return {instance, distance, roundTripMs, queueWaitMs: 0, serviceMs: 2};
}

function busy(idle: ReadCandidate, queueWaitMs: number): ReadCandidate {
  return {...idle, queueWaitMs};
}

function describeDecision(decision: ReadDecision): string {
  if (decision.action === 'run') return `run ${decision.instance}`;
  if (decision.action === 'wait') return 'wait';
  return `refuse ${decision.reason}`;
}
