import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {FailedAttempt} from '../../src/index.js';
import {
  decideNextStep,
  ERROR_CATALOGUE,
  ErrorKind,
  NextStep,
  Outcome,
} from '../../src/index.js';

const READ_ON_REPLICA: FailedAttempt = {
  kind: ErrorKind.Overloaded,
  isRepeatable: true,
  allowsReplica: true,
  wasOnPrimary: false,
  failedRuns: 0,
};

const WRITE: FailedAttempt = {
  kind: ErrorKind.Overloaded,
  isRepeatable: false,
  allowsReplica: false,
  wasOnPrimary: true,
  failedRuns: 0,
};

const ROWS: ReadonlyArray<
  [name: string, attempt: FailedAttempt, step: NextStep]
> = [
  [
    'a read that a busy replica refused',
    READ_ON_REPLICA,
    NextStep.OtherInstance,
  ],
  [
    'a read that a busy primary refused',
    {...READ_ON_REPLICA, wasOnPrimary: true},
    NextStep.SameAfterPause,
  ],
  [
    'a read that a lagging replica refused',
    {...READ_ON_REPLICA, kind: ErrorKind.NoFreshReplica},
    NextStep.OtherInstance,
  ],
  ['a write that a busy primary refused', WRITE, NextStep.SameAfterPause],
  [
    'a write that a replaced primary refused',
    {...WRITE, kind: ErrorKind.NotPrimary},
    NextStep.AwaitPrimary,
  ],
  [
    'a write that another instance at the address refused',
    {...WRITE, kind: ErrorKind.WrongInstance},
    NextStep.AwaitPrimary,
  ],
  [
    'a write that was never sent',
    {...WRITE, kind: ErrorKind.NoConnection},
    NextStep.SameAfterPause,
  ],
  [
    'a write whose outcome is unknown',
    {...WRITE, kind: ErrorKind.OutcomeUnknown},
    NextStep.Fail,
  ],
  [
    'a write that ran and failed',
    {...WRITE, kind: ErrorKind.RunFailed},
    NextStep.Fail,
  ],
  [
    'a read that ran and failed once',
    {...READ_ON_REPLICA, kind: ErrorKind.RunFailed, failedRuns: 1},
    NextStep.OtherInstance,
  ],
  [
    'a read that ran and failed twice',
    {...READ_ON_REPLICA, kind: ErrorKind.RunFailed, failedRuns: 2},
    NextStep.Fail,
  ],
];

describe('decideNextStep', () => {
  for (const [name, attempt, step] of ROWS) {
    it(`says "${step}" for ${name}`, () => {
      expect(decideNextStep(attempt)).toEqual(step);
    });
  }

  it('sends nothing again that may have run and is not repeatable', () => {
    fc.assert(
      fc.property(
        fc.constantFrom(...Object.values(ErrorKind)),
        fc.boolean(),
        fc.nat(3),
        (kind, wasOnPrimary, failedRuns) => {
          const mayHaveRun = ERROR_CATALOGUE[kind].outcome !== Outcome.NotRun;
          if (!mayHaveRun) return;
          const step = decideNextStep({
            kind,
            wasOnPrimary,
            failedRuns,
            isRepeatable: false,
            allowsReplica: false,
          });
          expect(step).toEqual(NextStep.Fail);
        },
      ),
      {seed: 1, numRuns: 500},
    );
  });
});
