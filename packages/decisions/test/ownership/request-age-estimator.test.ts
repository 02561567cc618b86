import {describe, it} from 'node:test';
import {expect} from 'earl';
import {RequestAgeEstimator} from '../../src/index.js';

/** How far the peer's clocks are from those here, in milliseconds. */
const STEADY_OFFSET_MS = 7_000;
const WALL_OFFSET_MS = -3_000;

/** Readings of the peer's clocks when those here show a time. */
function peer(atMs: number): {steadyMs: number; wallMs: number} {
  return {steadyMs: atMs + STEADY_OFFSET_MS, wallMs: atMs + WALL_OFFSET_MS};
}

function here(atMs: number): {steadyMs: number; wallMs: number} {
  return {steadyMs: atMs, wallMs: atMs};
}

describe('RequestAge', () => {
  it('takes the time since the link was opened for the first request', () => {
    const age = new RequestAgeEstimator(here(100));
    expect(age.estimateAgeMs(peer(105), here(108))).toEqual(8);
  });

  it('finds what the way took beyond the fastest one, whatever the clocks show', () => {
    const age = new RequestAgeEstimator(here(0));
    age.estimateAgeMs(peer(10), here(12));
    expect(age.estimateAgeMs(peer(100), here(102))).toEqual(0);
    expect(age.estimateAgeMs(peer(200), here(230))).toEqual(28);
    expect(age.estimateAgeMs(peer(300), here(301))).toEqual(0);
    expect(age.estimateAgeMs(peer(400), here(405))).toEqual(4);
  });

  it('finds requests that waited while this process was frozen', () => {
    const age = new RequestAgeEstimator(here(0));
    age.estimateAgeMs(peer(10), here(11));
    expect(age.estimateAgeMs(peer(500), here(3_501))).toEqual(3_000);
    expect(age.estimateAgeMs(peer(700), here(3_502))).toEqual(2_801);
  });

  it('finds them also where the steady clock stood still meanwhile', () => {
    const age = new RequestAgeEstimator(here(0));
    age.estimateAgeMs(peer(10), here(11));
    const now = {steadyMs: 501, wallMs: 3_501};
    expect(age.estimateAgeMs(peer(500), now)).toEqual(3_000);
  });

  describe('that learned the way from another message', () => {
    it('finds the age of a first request long after the link was opened', () => {
      const age = new RequestAgeEstimator(here(0));
      age.observeMessage(peer(10), here(12));
      expect(age.estimateAgeMs(peer(9_000), here(9_003))).toEqual(1);
      expect(age.estimateAgeMs(peer(9_100), here(12_102))).toEqual(3_000);
    });

    it('learns nothing if that message may have waited here as well', () => {
      const age = new RequestAgeEstimator(here(0));
      age.observeMessage(peer(10), here(3_000));
      expect(age.estimateAgeMs(peer(500), here(3_001))).toEqual(3_001);
    });

    it('goes on learning when the way is known', () => {
      const age = new RequestAgeEstimator(here(0));
      age.observeMessage(peer(10), here(50));
      age.observeMessage(peer(1_000), here(1_002));
      expect(age.estimateAgeMs(peer(2_000), here(2_010))).toEqual(8);
    });
  });

  it('takes a request as old rather than young when the time of day jumps', () => {
    const age = new RequestAgeEstimator(here(0));
    age.estimateAgeMs(peer(10), here(11));
    const jumped = {steadyMs: 102, wallMs: 4_102};
    expect(age.estimateAgeMs(peer(100), jumped) >= 4_000).toEqual(true);
  });
});
