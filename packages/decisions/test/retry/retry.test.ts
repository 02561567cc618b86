import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {FailedRequestAttempt} from '../../src/index.js';
import {
  canSendThroughCircuit,
  CLOSED_CIRCUIT,
  decideRetry,
  ErrorKind,
  computeHedgeDelayMs,
  isRedirect,
  recordCircuitFailure,
  recordCircuitAttempt,
  Outcome,
  RetryBudget,
} from '../../src/index.js';

const FAILED: FailedRequestAttempt = {
  outcome: Outcome.NotRun,
  kind: ErrorKind.NoOwner,
  isIdempotent: false,
  attempts: 1,
  remainingMs: 1_000,
};

const ROWS: Array<
  [name: string, change: Partial<FailedRequestAttempt>, isAgain: boolean]
> = [
  ['what did not run', {}, true],
  ['what may have run', {outcome: Outcome.Unknown}, false],
  [
    'what may have run and is repeatable',
    {outcome: Outcome.Unknown, isIdempotent: true},
    true,
  ],
  ['what has been tried three times', {attempts: 3}, false],
  ['what has no time left', {remainingMs: 12}, false],
  ['what was refused for overload', {kind: ErrorKind.Overloaded}, false],
  [
    'what ran without confirmation',
    {
      kind: ErrorKind.RanUnconfirmed,
      outcome: Outcome.RanUnconfirmed,
      isIdempotent: true,
    },
    false,
  ],
];

describe('decideRetry', () => {
  for (const [name, change, isAgain] of ROWS) {
    it(`${isAgain ? 'tries' : 'does not try'} again ${name}`, () => {
      const pauseMs = decideRetry({...FAILED, ...change}, fullBudget(), 0.5);
      expect(pauseMs !== undefined).toEqual(isAgain);
    });
  }

  it('keeps retries within a tenth of the first tries', () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let tries = 1; tries <= 10_000; tries += 1) {
      budget.deposit();
      while (decideRetry(FAILED, budget, 0) !== undefined) retries += 1;
      expect(retries).toBeLessThanOrEqual(tries / 10);
    }
    expect(retries).toBeGreaterThanOrEqual(990);
  });
});

describe('isRedirect', () => {
  it('takes only "no owner" that certainly did not run', () => {
    expect(isRedirect(FAILED)).toEqual(true);
    expect(isRedirect({...FAILED, outcome: Outcome.Unknown})).toEqual(false);
    expect(isRedirect({...FAILED, kind: ErrorKind.NoPrimary})).toEqual(false);
  });
});

describe('a circuit', () => {
  it('opens after five failures, lets one trial pass and opens for longer', () => {
    let circuit = CLOSED_CIRCUIT;
    for (let failure = 0; failure < 5; failure += 1) {
      expect(canSendThroughCircuit(circuit, 0)).toEqual(true);
      circuit = recordCircuitFailure(circuit, 0, 0.5);
    }
    expect(canSendThroughCircuit(circuit, 199)).toEqual(false);
    expect(canSendThroughCircuit(circuit, 200)).toEqual(true);
    circuit = recordCircuitAttempt(circuit);
    expect(canSendThroughCircuit(circuit, 200)).toEqual(false);
    circuit = recordCircuitFailure(circuit, 200, 0.5);
    expect(canSendThroughCircuit(circuit, 599)).toEqual(false);
    expect(canSendThroughCircuit(circuit, 600)).toEqual(true);
  });
});

describe('hedgeDelay', () => {
  it('hedges what takes unusually long, if there is time for it', () => {
    expect(computeHedgeDelayMs(2, 500)).toEqual(20);
    expect(computeHedgeDelayMs(10, 500)).toEqual(40);
    expect(computeHedgeDelayMs(10, 45)).toEqual(undefined);
  });
});

function fullBudget(): RetryBudget {
  const budget = new RetryBudget();
  for (let tries = 0; tries < 1_000; tries += 1) budget.deposit();
  return budget;
}
