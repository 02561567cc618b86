import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {GroupFreshness, InstanceObservation} from '../../src/index.js';
import {
  emptyFreshness,
  InstanceRole,
  computeLeaderConfirmedAtMs,
  observeInstance,
  observeView,
  computeAgeBoundMs,
} from '../../src/index.js';

const NAMES = ['a', 'b', 'c'] as const;
const VIEW = {group: 'ledger-1', term: 1, primary: 'a', termStarts: []};
const PARAMETERS = {instanceCount: 3, allowedAgeMs: 1_000};
/** The primary of term 1 appends one entry in this time, in milliseconds. */
const MS_PER_ENTRY = 10;

/** A probe of one instance; times in milliseconds. */
interface Probe {
  readonly instance: number;
  readonly sentAtMs: number;
  readonly outboundMs: number;
  readonly returnMs: number;
}

describe('freshness points', () => {
  it('include every acknowledged write while a partitioned primary continues', () => {
    fc.assert(
      fc.property(
        fc.array(probeArbitrary(), {minLength: 5, maxLength: 60}),
        fc.tuple(grantTime(), grantTime()),
        (probes, grantTimes) => {
          // Instances b and c grant term 2 at these times. Instance a never
          // does and continues to append entries of term 1.
          const majorityGrantedAtMs = Math.max(...grantTimes);
          const observations = probes.map(probe =>
            answerProbe(probe, grantTimes),
          );
          for (const state of statesAfter(observations)) {
            expectProven(state, majorityGrantedAtMs);
          }
        },
      ),
      {seed: 53, numRuns: 3_000},
    );
  });

  it('age while the primary is not observed', () => {
    const observations = ['a', 'b'].map(name => observationAt(name, 100, 5));
    const state = observations.reduce(observe, emptyFreshness(VIEW));
    expect(computeAgeBoundMs(state, {term: 1, position: 5}, 400)).toEqual(300);
    const later = observe(state, observationAt('b', 9_000, 5));
    expect(computeAgeBoundMs(later, {term: 1, position: 5}, 9_100)).toEqual(
      9_000,
    );
  });

  it('prove nothing without a majority', () => {
    const state = observe(emptyFreshness(VIEW), observationAt('a', 100, 5));
    expect(computeLeaderConfirmedAtMs(state, PARAMETERS)).toEqual(undefined);
    expect(computeAgeBoundMs(state, {term: 1, position: 5}, 100)).toEqual(
      Infinity,
    );
  });

  it('count no instance that is not a voter of the term', () => {
    const observations = ['a', 'd'].map(name => observationAt(name, 100, 5));
    const state = observations.reduce(observe, emptyFreshness(VIEW));
    const parameters = {...PARAMETERS, voters: NAMES};
    expect(computeLeaderConfirmedAtMs(state, parameters)).toEqual(undefined);
    const proved = observe(state, observationAt('b', 90, 5));
    expect(computeLeaderConfirmedAtMs(proved, parameters)).toEqual(90);
  });

  it('are discarded in a new term', () => {
    const observations = ['a', 'b'].map(name => observationAt(name, 100, 5));
    const state = observeView(
      observations.reduce(observe, emptyFreshness(VIEW)),
      {
        ...VIEW,
        term: 2,
        primary: 'b',
      },
    );
    expect(computeAgeBoundMs(state, {term: 1, position: 5}, 100)).toEqual(
      Infinity,
    );
  });

  it('stay bounded in number and keep the age bound close to the true age', () => {
    let state = emptyFreshness(VIEW);
    for (let position = 1; position <= 20_000; position += 1) {
      state = observe(
        state,
        observationAt('a', position * MS_PER_ENTRY, position),
      );
      state = observe(
        state,
        observationAt('b', position * MS_PER_ENTRY, position),
      );
    }
    expect(state.points.length).toBeLessThanOrEqual(1_024);
    const nowMs = 20_000 * MS_PER_ENTRY;
    for (const position of [10_000, 19_000, 19_900, 20_000]) {
      const trueAgeMs = nowMs - position * MS_PER_ENTRY;
      const ageMs = computeAgeBoundMs(state, {term: 1, position}, nowMs);
      expect(ageMs).toBeGreaterThanOrEqual(trueAgeMs);
      expect(ageMs).toBeLessThanOrEqual(trueAgeMs * 1.07 + MS_PER_ENTRY);
    }
  });
});

/** Checks that no point claims more than was true at its time. */
function expectProven(state: GroupFreshness, grantedAtMs: number): void {
  for (const {provenAtMs, position} of state.points) {
    expect(provenAtMs).toBeLessThanOrEqual(grantedAtMs);
    const appended = Math.floor(provenAtMs / MS_PER_ENTRY);
    expect(position.position).toBeGreaterThanOrEqual(appended);
  }
}

function statesAfter(observations: InstanceObservation[]): GroupFreshness[] {
  const ordered = [...observations].sort(
    (left, right) => left.answeredAtMs - right.answeredAtMs,
  );
  let state = emptyFreshness(VIEW);
  return ordered.map(observation => (state = observe(state, observation)));
}

/** Returns the state that an instance reports when the probe arrives there. */
function answerProbe(
  probe: Probe,
  [grantB, grantC]: [number, number],
): InstanceObservation {
  const shownAtMs = probe.sentAtMs + probe.outboundMs;
  const instance = NAMES[probe.instance]!;
  const grantedAtMs = {a: Infinity, b: grantB, c: grantC}[instance];
  return {
    ...observationAt(
      instance,
      probe.sentAtMs,
      Math.floor(shownAtMs / MS_PER_ENTRY),
    ),
    grantedTerm: shownAtMs >= grantedAtMs ? 2 : 1,
    answeredAtMs: shownAtMs + probe.returnMs,
  };
}

function observationAt(
  instance: string,
  sentAtMs: number,
  position: number,
): InstanceObservation {
  return {
    instance,
    role: instance === 'a' ? InstanceRole.Primary : InstanceRole.Replica,
    term: 1,
    grantedTerm: 1,
    position: {term: 1, position},
    sentAtMs,
    answeredAtMs: sentAtMs,
  };
}

function observe(
  state: GroupFreshness,
  observation: InstanceObservation,
): GroupFreshness {
  return observeInstance(state, observation, PARAMETERS);
}

function probeArbitrary(): fc.Arbitrary<Probe> {
  return fc.record({
    instance: fc.nat({max: NAMES.length - 1}),
    sentAtMs: fc.nat({max: 2_000}),
    outboundMs: fc.nat({max: 200}),
    returnMs: fc.nat({max: 200}),
  });
}

function grantTime(): fc.Arbitrary<number> {
  return fc.nat({max: 2_000});
}
