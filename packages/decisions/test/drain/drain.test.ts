import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import type {CallerConnectionState} from '../../src/index.js';
import {
  ConnectionAction,
  decideConnectionAction,
  DrainPhase,
  scheduleDrain,
} from '../../src/index.js';

/** Phases of a stop, in order. */
const STOP_PHASES = [
  DrainPhase.ClosingIdle,
  DrainPhase.Finishing,
  DrainPhase.Abandoning,
] as const;

describe('scheduleDrain', () => {
  it('orders the phases, and answers every statement before the process stops', () => {
    fc.assert(
      fc.property(fc.integer({min: 1, max: 600_000}), graceMs => {
        const schedule = scheduleDrain(graceMs);
        const times = [
          0,
          schedule.closesIdleAfterMs,
          schedule.finishesAfterMs,
          schedule.answersByMs,
          schedule.abandonsAfterMs,
          graceMs,
        ];
        expect([...times].sort((left, right) => left - right)).toEqual(times);
      }),
      {seed: 41},
    );
  });

  it('gives open transactions half of the grace period, also of a short one', () => {
    expect(scheduleDrain(6_000).finishesAfterMs).toEqual(3_000);
    expect(scheduleDrain(2_000).finishesAfterMs).toEqual(1_000);
    expect(scheduleDrain(2_000).closesIdleAfterMs).toEqual(1_000);
  });
});

describe('decideConnectionAction', () => {
  const state: CallerConnectionState = {
    phase: DrainPhase.Serving,
    hasRequest: false,
    hasOpenTransaction: false,
  };

  it('keeps every connection while the process serves', () => {
    expect(decideConnectionAction(state)).toEqual(ConnectionAction.Keep);
  });

  for (const phase of STOP_PHASES) {
    it(`never closes a connection with an unanswered request while ${phase}`, () => {
      for (const hasOpenTransaction of [false, true]) {
        const action = decideConnectionAction({
          phase,
          hasRequest: true,
          hasOpenTransaction,
        });
        expect(action === ConnectionAction.Close).toEqual(false);
      }
    });

    it(`closes an idle session while ${phase}`, () => {
      const action = decideConnectionAction({...state, phase});
      expect(action).toEqual(ConnectionAction.Close);
    });
  }

  /** What happens to a caller that sends one statement after another. */
  function replayTransaction(
    statementMs: number,
    statements: number,
  ): {readonly answered: number; readonly endedAtMs: number} {
    const {finishesAfterMs, abandonsAfterMs} = scheduleDrain(6_000);
    let nowMs = 2_100;
    let answered = 0;
    while (answered < statements) {
      const phase =
        nowMs < finishesAfterMs ? DrainPhase.ClosingIdle : DrainPhase.Finishing;
      if (phase === DrainPhase.Finishing) break;
      nowMs += statementMs;
      if (nowMs > abandonsAfterMs) break;
      answered += 1;
    }
    return {answered, endedAtMs: nowMs};
  }

  it('has answered slow transactions that begin late, long before the process stops', () => {
    // Transactions of twelve reads of 300 ms each that begin 2.1 s after SIGTERM.
    const {answered, endedAtMs} = replayTransaction(300, 12);
    expect(answered).toEqual(3);
    expect(endedAtMs <= 3_300).toEqual(true);
  });
});
