import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {InstanceUseInputs} from '../../src/index.js';
import {
  decideInstanceUse,
  directoryReadIntervalMs,
  InstanceUse,
  MAXIMUM_SEND_MS,
  maximumConfirmationAgeMs,
} from '../../src/index.js';

const LEAVE_WITHIN_MS = 7_000;

/** Oldest confirmation with which an instance is used, in milliseconds. */
const MAXIMUM_AGE_MS = LEAVE_WITHIN_MS - MAXIMUM_SEND_MS;

const STAYING: InstanceUseInputs = {
  isPrimary: false,
  isLeaving: false,
  stayedAgoMs: 0,
  leaveWithinMs: LEAVE_WITHIN_MS,
  isStoreReachable: true,
};

function decide(inputs: Partial<InstanceUseInputs>): InstanceUse {
  return decideInstanceUse({...STAYING, ...inputs});
}

describe('decideInstanceUse', () => {
  describe('an instance that is not known to leave', () => {
    it('is used while its confirmation is recent enough', () => {
      const stayedAgoMs = MAXIMUM_AGE_MS - 1;
      expect(decide({stayedAgoMs})).toEqual(InstanceUse.Allowed);
    });

    it('is not used with an older confirmation, or without one', () => {
      for (const stayedAgoMs of [MAXIMUM_AGE_MS, Infinity]) {
        expect(decide({stayedAgoMs})).toEqual(InstanceUse.Unconfirmed);
        expect(decide({stayedAgoMs, isPrimary: true})).toEqual(
          InstanceUse.Unconfirmed,
        );
      }
    });

    it('is used while the store does not answer', () => {
      const inputs = {stayedAgoMs: Infinity, isStoreReachable: false};
      expect(decide(inputs)).toEqual(InstanceUse.Allowed);
    });
  });

  describe('an instance that is known to leave', () => {
    it('is not used at all if it is a replica', () => {
      expect(decide({isLeaving: true})).toEqual(InstanceUse.Leaving);
    });

    it('is used as primary up to the limit, whether the store answers or not', () => {
      for (const isStoreReachable of [true, false]) {
        const leaving = {isPrimary: true, isLeaving: true, isStoreReachable};
        expect(decide({...leaving, stayedAgoMs: MAXIMUM_AGE_MS - 1})).toEqual(
          InstanceUse.Allowed,
        );
        expect(decide({...leaving, stayedAgoMs: MAXIMUM_AGE_MS})).toEqual(
          InstanceUse.Leaving,
        );
      }
    });
  });

  it('leaves time to read the directory twice, also within a short limit', () => {
    for (const leaveWithinMs of [1_000, 2_000, 7_000, 10_000]) {
      const intervalMs = directoryReadIntervalMs(leaveWithinMs);
      expect(2 * intervalMs <= maximumConfirmationAgeMs(leaveWithinMs)).toEqual(
        true,
      );
      expect(decide({leaveWithinMs, stayedAgoMs: intervalMs})).toEqual(
        InstanceUse.Allowed,
      );
    }
  });

  // Replays random reads of the directory and statements around one leave.
  it('lets no statement reach an instance too late while the store answers', () => {
    const moments = fc.array(fc.integer({min: 0, max: 30_000}), {
      maxLength: 12,
    });
    const load = fc.record({
      leaveAtMs: fc.integer({min: 0, max: 15_000}),
      readsAtMs: moments,
      statementsAtMs: moments,
      sendMs: fc.integer({min: 0, max: MAXIMUM_SEND_MS}),
      isPrimary: fc.boolean(),
    });
    fc.assert(
      fc.property(load, run => {
        for (const atMs of run.statementsAtMs) {
          const reads = run.readsAtMs.filter(readMs => readMs <= atMs);
          const stayed = reads.filter(readMs => readMs <= run.leaveAtMs);
          const use = decide({
            isPrimary: run.isPrimary,
            isLeaving: stayed.length < reads.length,
            stayedAgoMs: atMs - Math.max(-Infinity, ...stayed),
          });
          const leftAloneMs = run.leaveAtMs + LEAVE_WITHIN_MS;
          if (atMs + run.sendMs > leftAloneMs)
            expect(use).not.toEqual(InstanceUse.Allowed);
        }
      }),
      {seed: 13, numRuns: 2_000},
    );
  });
});
