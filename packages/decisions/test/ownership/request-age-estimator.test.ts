import {describe, it} from 'node:test';
import {expect} from 'earl';
import {RequestAgeEstimator} from '../../src/index.js';

/** Offsets of the peer's clocks from the local ones, in milliseconds. */
const STEADY_OFFSET_MS = 7_000;
const WALL_OFFSET_MS = -3_000;

/** Returns the peer's clocks at a time of the local clocks. */
function peer(atMs: number): {steadyMs: number; wallMs: number} {
  return {steadyMs: atMs + STEADY_OFFSET_MS, wallMs: atMs + WALL_OFFSET_MS};
}

function local(atMs: number): {steadyMs: number; wallMs: number} {
  return {steadyMs: atMs, wallMs: atMs};
}

describe('RequestAgeEstimator', () => {
  it('returns the time since the link was opened for the first request', () => {
    const estimator = new RequestAgeEstimator(local(100));
    expect(estimator.estimateAgeMs(peer(105), local(108))).toEqual(8);
  });

  it('returns the transit time beyond the fastest one, whatever the clock offsets', () => {
    const estimator = new RequestAgeEstimator(local(0));
    estimator.estimateAgeMs(peer(10), local(12));
    expect(estimator.estimateAgeMs(peer(100), local(102))).toEqual(0);
    expect(estimator.estimateAgeMs(peer(200), local(230))).toEqual(28);
    expect(estimator.estimateAgeMs(peer(300), local(301))).toEqual(0);
    expect(estimator.estimateAgeMs(peer(400), local(405))).toEqual(4);
  });

  it('detects requests that waited while this process was frozen', () => {
    const estimator = new RequestAgeEstimator(local(0));
    estimator.estimateAgeMs(peer(10), local(11));
    expect(estimator.estimateAgeMs(peer(500), local(3_501))).toEqual(3_000);
    expect(estimator.estimateAgeMs(peer(700), local(3_502))).toEqual(2_801);
  });

  it('detects them even if the steady clock stopped in the meantime', () => {
    const estimator = new RequestAgeEstimator(local(0));
    estimator.estimateAgeMs(peer(10), local(11));
    const now = {steadyMs: 501, wallMs: 3_501};
    expect(estimator.estimateAgeMs(peer(500), now)).toEqual(3_000);
  });

  describe('with a sample from another message', () => {
    it('estimates the age of a first request long after the link was opened', () => {
      const estimator = new RequestAgeEstimator(local(0));
      estimator.observeMessage(peer(10), local(12));
      expect(estimator.estimateAgeMs(peer(9_000), local(9_003))).toEqual(1);
      expect(estimator.estimateAgeMs(peer(9_100), local(12_102))).toEqual(
        3_000,
      );
    });

    it('ignores the sample if that message may have waited here as well', () => {
      const estimator = new RequestAgeEstimator(local(0));
      estimator.observeMessage(peer(10), local(3_000));
      expect(estimator.estimateAgeMs(peer(500), local(3_001))).toEqual(3_001);
    });

    it('updates the offset from later samples', () => {
      const estimator = new RequestAgeEstimator(local(0));
      estimator.observeMessage(peer(10), local(50));
      estimator.observeMessage(peer(1_000), local(1_002));
      expect(estimator.estimateAgeMs(peer(2_000), local(2_010))).toEqual(8);
    });
  });

  it('overestimates the age when the time of day jumps', () => {
    const estimator = new RequestAgeEstimator(local(0));
    estimator.estimateAgeMs(peer(10), local(11));
    const jumped = {steadyMs: 102, wallMs: 4_102};
    expect(estimator.estimateAgeMs(peer(100), jumped) >= 4_000).toEqual(true);
  });
});
