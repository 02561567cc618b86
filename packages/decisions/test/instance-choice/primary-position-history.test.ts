import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {comparePositions, PrimaryPositionHistory} from '../../src/index.js';

const STEPS = fc.array(
  fc.record({
    afterMs: fc.integer({min: 0, max: 60}),
    commits: fc.nat(3),
    isNewTerm: fc.boolean(),
  }),
  {minLength: 1, maxLength: 400},
);

describe('PrimaryPositionHistory', () => {
  it('never returns a position that lacks a commit acknowledged before the time', () => {
    fc.assert(
      fc.property(STEPS, fc.nat(3_000), (steps, ageMs) => {
        const positions = new PrimaryPositionHistory();
        const history: Array<{atMs: number; term: number; position: number}> =
          [];
        let atMs = 0;
        let term = 1;
        let position = 0;
        for (const step of steps) {
          atMs += step.afterMs;
          if (step.isNewTerm && step.commits === 3) term += 1;
          // Observed before the commits of this step, which come later.
          positions.recordObservation(atMs, {term, position});
          history.push({atMs, term, position});
          position += step.commits;
        }
        const notBeforeMs = atMs - ageMs;
        const foundPosition =
          positions.findPositionSince(notBeforeMs)?.position;
        if (foundPosition === undefined) return;
        const acknowledged = history
          .filter(each => each.atMs <= notBeforeMs)
          .at(-1);
        if (acknowledged === undefined) return;
        expect(comparePositions(foundPosition, acknowledged) >= 0).toEqual(
          true,
        );
      }),
      {seed: 21, numRuns: 500},
    );
  });

  it('returns nothing when the primary was not queried since', () => {
    const positions = new PrimaryPositionHistory();
    positions.recordObservation(1_000, {term: 1, position: 5});
    expect(positions.findPositionSince(1_001)).toEqual(undefined);
    expect(positions.findPositionSince(1_000)?.position).toEqual({
      term: 1,
      position: 5,
    });
  });

  it('discards observations from before a suspension of the machine', () => {
    const positions = new PrimaryPositionHistory();
    const position = {term: 1, position: 5};
    positions.discardAfterSuspension({steadyMs: 1_000, wallMs: 50_000});
    positions.recordObservation(1_000, position);
    positions.bound(1_000, position);
    positions.discardAfterSuspension({steadyMs: 1_010, wallMs: 53_000});
    expect(positions.findPositionSince(900)).toEqual(undefined);

    // Answers to requests sent before the suspension are ignored as well.
    positions.recordObservation(1_005, position);
    positions.bound(1_005, position);
    expect(positions.findPositionSince(900)).toEqual(undefined);
    positions.recordObservation(1_011, position);
    expect(positions.findPositionSince(900)?.position).toEqual(position);
  });

  it('keeps observations while both clocks run or the wall clock is set back', () => {
    const positions = new PrimaryPositionHistory();
    const position = {term: 1, position: 5};
    positions.discardAfterSuspension({steadyMs: 1_000, wallMs: 50_000});
    positions.recordObservation(1_000, position);
    positions.discardAfterSuspension({steadyMs: 3_000, wallMs: 52_000});
    positions.discardAfterSuspension({steadyMs: 3_010, wallMs: 48_000});
    expect(positions.findPositionSince(900)?.position).toEqual(position);
  });

  it('stores the highest position of any instance', () => {
    const positions = new PrimaryPositionHistory();
    positions.recordSeen({term: 2, position: 1});
    positions.recordSeen({term: 1, position: 9});
    expect(positions.highestSeen).toEqual({term: 2, position: 1});
  });
});
