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
  [name: string, change: Partial<FailedRequestAttempt>, isRetried: boolean]
> = [
  ['a request that did not run', {}, true],
  ['a request that may have run', {outcome: Outcome.Unknown}, false],
  [
    'an idempotent request that may have run',
    {outcome: Outcome.Unknown, isIdempotent: true},
    true,
  ],
  ['a request after three attempts', {attempts: 3}, false],
  ['a request without remaining time', {remainingMs: 12}, false],
  ['a request refused due to overload', {kind: ErrorKind.Overloaded}, false],
  [
    'a request that ran without confirmation',
    {
      kind: ErrorKind.RanUnconfirmed,
      outcome: Outcome.RanUnconfirmed,
      isIdempotent: true,
    },
    false,
  ],
];

describe('decideRetry', () => {
  for (const [name, change, isRetried] of ROWS) {
    it(`${isRetried ? 'retries' : 'does not retry'} ${name}`, () => {
      const delayMs = decideRetry({...FAILED, ...change}, fullBudget(), 0.5);
      expect(delayMs !== undefined).toEqual(isRetried);
    });
  }

  it('limits retries to a tenth of the first attempts', () => {
    const budget = new RetryBudget();
    let retries = 0;
    for (let attempts = 1; attempts <= 10_000; attempts += 1) {
      budget.deposit();
      while (decideRetry(FAILED, budget, 0) !== undefined) retries += 1;
      expect(retries).toBeLessThanOrEqual(attempts / 10);
    }
    expect(retries).toBeGreaterThanOrEqual(990);
  });
});

describe('isRedirect', () => {
  it('is true only for "no owner" with a request that certainly did not run', () => {
    expect(isRedirect(FAILED)).toEqual(true);
    expect(isRedirect({...FAILED, outcome: Outcome.Unknown})).toEqual(false);
    expect(isRedirect({...FAILED, kind: ErrorKind.NoPrimary})).toEqual(false);
  });
});

describe('a circuit breaker', () => {
  it('opens after five failures, allows one trial and then opens for longer', () => {
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

describe('computeHedgeDelayMs', () => {
  it('hedges unusually slow reads if enough time remains', () => {
    expect(computeHedgeDelayMs(2, 500)).toEqual(20);
    expect(computeHedgeDelayMs(10, 500)).toEqual(40);
    expect(computeHedgeDelayMs(10, 45)).toEqual(undefined);
  });
});

function fullBudget(): RetryBudget {
  const budget = new RetryBudget();
  for (let attempts = 0; attempts < 1_000; attempts += 1) budget.deposit();
  return budget;
}
