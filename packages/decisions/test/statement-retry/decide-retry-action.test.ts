import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {FailedStatementAttempt} from '../../src/index.js';
import {
  decideRetryAction,
  ERROR_CATALOGUE,
  ErrorKind,
  RetryAction,
  Outcome,
} from '../../src/index.js';

const READ_ON_REPLICA: FailedStatementAttempt = {
  kind: ErrorKind.Overloaded,
  isRetryable: true,
  allowsReplica: true,
  wasSentToPrimary: false,
  failedExecutions: 0,
  isUnreachable: false,
};

const WRITE: FailedStatementAttempt = {
  kind: ErrorKind.Overloaded,
  isRetryable: false,
  allowsReplica: false,
  wasSentToPrimary: true,
  failedExecutions: 0,
  isUnreachable: false,
};

const ROWS: ReadonlyArray<
  [name: string, attempt: FailedStatementAttempt, step: RetryAction]
> = [
  [
    'a read that a busy replica refused',
    READ_ON_REPLICA,
    RetryAction.OtherInstance,
  ],
  [
    'a read that a busy primary refused',
    {...READ_ON_REPLICA, wasSentToPrimary: true},
    RetryAction.SameInstanceAfterDelay,
  ],
  [
    'a read that a lagging replica refused',
    {...READ_ON_REPLICA, kind: ErrorKind.NoFreshReplica},
    RetryAction.OtherInstance,
  ],
  [
    'a write that a busy primary refused',
    WRITE,
    RetryAction.SameInstanceAfterDelay,
  ],
  [
    'a write whose connection was lost before it was sent',
    {...WRITE, kind: ErrorKind.NoConnection},
    RetryAction.SameInstanceAfterDelay,
  ],
  [
    'a write to a primary that cannot be reached',
    {...WRITE, kind: ErrorKind.NoConnection, isUnreachable: true},
    RetryAction.Fail,
  ],
  [
    'a read of an instance that cannot be reached',
    {
      ...READ_ON_REPLICA,
      kind: ErrorKind.NoConnection,
      isUnreachable: true,
    },
    RetryAction.OtherInstance,
  ],
  [
    'a write that a replaced primary refused',
    {...WRITE, kind: ErrorKind.NotPrimary},
    RetryAction.AwaitPrimary,
  ],
  [
    'a write that another instance at the address refused',
    {...WRITE, kind: ErrorKind.WrongInstance},
    RetryAction.AwaitPrimary,
  ],
  [
    'a write that was never sent',
    {...WRITE, kind: ErrorKind.NoConnection},
    RetryAction.SameInstanceAfterDelay,
  ],
  [
    'a write whose outcome is unknown',
    {...WRITE, kind: ErrorKind.OutcomeUnknown},
    RetryAction.Fail,
  ],
  [
    'a write that ran and failed',
    {...WRITE, kind: ErrorKind.RunFailed},
    RetryAction.Fail,
  ],
  [
    'a read that ran and failed once',
    {...READ_ON_REPLICA, kind: ErrorKind.RunFailed, failedExecutions: 1},
    RetryAction.OtherInstance,
  ],
  [
    'a read that ran and failed twice',
    {...READ_ON_REPLICA, kind: ErrorKind.RunFailed, failedExecutions: 2},
    RetryAction.Fail,
  ],
];

describe('decideNextStep', () => {
  for (const [name, attempt, step] of ROWS) {
    it(`says "${step}" for ${name}`, () => {
      expect(decideRetryAction(attempt)).toEqual(step);
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
          const step = decideRetryAction({
            kind,
            wasSentToPrimary: wasOnPrimary,
            failedExecutions: failedRuns,
            isUnreachable: false,
            isRetryable: false,
            allowsReplica: false,
          });
          expect(step).toEqual(RetryAction.Fail);
        },
      ),
      {seed: 1, numRuns: 500},
    );
  });
});
