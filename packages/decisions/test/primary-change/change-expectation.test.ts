import {describe, it} from 'node:test';
import {expect} from 'earl';
import {ChangeExpectation} from '../../src/index.js';

/** Time within which the replayed requests want an answer, in milliseconds. */
const TIME_ALLOWED_MS = 800;

/** Interval between two of them, in milliseconds. */
const REQUEST_INTERVAL_MS = 10;

/**
 * Replays requests that arrive while a target is being promoted.
 *
 * @param expectation - What earlier changes taught.
 * @param promotionMs - How long the promotion takes, in milliseconds.
 * @returns How many requests waited in vain, and how many were refused although
 *   waiting would have served them.
 */
function replayPromotion(
  expectation: ChangeExpectation,
  promotionMs: number,
): {heldInVain: number; refusedTooEarly: number} {
  const progress = {beganAtMs: 0, isPlanned: false, targetAtMs: 0};
  let heldInVain = 0;
  let refusedTooEarly = 0;
  for (let atMs = 0; atMs < promotionMs; atMs += REQUEST_INTERVAL_MS) {
    const deadlineMs = atMs + TIME_ALLOWED_MS;
    const endsAtMs = expectation.endsAtMs(progress, atMs);
    const waits = endsAtMs >= atMs && endsAtMs <= deadlineMs;
    const isServable = promotionMs <= deadlineMs;
    if (waits && !isServable) heldInVain += 1;
    if (!waits && isServable) refusedTooEarly += 1;
  }
  expectation.recordPromotion(progress, promotionMs);
  return {heldInVain, refusedTooEarly};
}

describe('ChangeExpectation', () => {
  for (const promotionMs of [300, 600, 1_000, 1_500, 2_500]) {
    describe(`where a promotion takes ${promotionMs} ms`, () => {
      it('holds no request in vain once it has seen one', () => {
        const expectation = new ChangeExpectation();
        replayPromotion(expectation, promotionMs);
        expect(replayPromotion(expectation, promotionMs).heldInVain).toEqual(0);
      });

      it('refuses few requests that it could serve once it has seen one', () => {
        const expectation = new ChangeExpectation();
        replayPromotion(expectation, promotionMs);
        const {refusedTooEarly} = replayPromotion(expectation, promotionMs);
        // A tenth of the duration is kept as tolerance.
        const toleratedMs = promotionMs / 10;
        expect(
          refusedTooEarly * REQUEST_INTERVAL_MS <=
            toleratedMs + REQUEST_INTERVAL_MS,
        ).toEqual(true);
      });
    });
  }

  it('forgets a slow change after several usual ones', () => {
    const expectation = new ChangeExpectation();
    const progress = {beganAtMs: 0, isPlanned: false, targetAtMs: 0};
    for (const durationMs of [4_000, 600, 600, 600, 600, 600])
      expectation.recordPromotion(progress, durationMs);
    expect(expectation.endsAtMs(progress, 0) < 700).toEqual(true);
  });

  it('learns planned changes apart from failures', () => {
    const expectation = new ChangeExpectation();
    const failure = {beganAtMs: 0, isPlanned: false, targetAtMs: undefined};
    const planned = {...failure, isPlanned: true};
    expectation.recordChoice(failure, 2_000);
    const beforeMs = expectation.endsAtMs(planned, 0);
    expectation.recordChoice(planned, 100);
    expect(expectation.endsAtMs(planned, 0) < beforeMs).toEqual(true);
    expect(expectation.endsAtMs(failure, 0) > 2_000).toEqual(true);
  });
});
