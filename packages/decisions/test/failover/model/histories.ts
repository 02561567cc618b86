import {describe, it} from 'node:test';
import fc from 'fast-check';
import {ChangingCluster} from './changing-cluster.js';
import type {ModelDecisions} from './model-node.js';
import {PRODUCT_DECISIONS} from './model-node.js';
import {ModelCluster} from './model-cluster.js';

const HISTORY_LENGTH = 100;
const MAXIMUM_CHOICE = 2 ** 20;

/** Arbitrary for lists of choices, each of which drives one history. */
export const histories = fc.array(fc.nat(MAXIMUM_CHOICE), {
  minLength: HISTORY_LENGTH,
  maxLength: HISTORY_LENGTH,
});

/** Declares the test that no history violates a guarantee. */
export function describeHistories(
  size: number,
  seed: number,
  numRuns: number,
): void {
  describe('change of primary against all logs in one place', () => {
    it(`keeps every promise with ${size} instances`, () => {
      fc.assert(
        fc.property(histories, choices => {
          const violations = findViolations(size, choices, PRODUCT_DECISIONS);
          if (violations.length > 0) throw new Error(violations.join('; '));
        }),
        {seed, numRuns, includeErrorInReport: true},
      );
    });
  });
}

/** Runs one history to its end and returns the guarantees that it violated. */
export function findViolations(
  size: number,
  choices: readonly number[],
  decisions: ModelDecisions,
): readonly string[] {
  const cluster = new ModelCluster(size, decisions);
  // Three of four histories begin with a primary, the others without one.
  if ((choices[0] ?? 0) % 4 !== 0) cluster.electFirstPrimary();
  return runHistory(cluster, choices);
}

/** Runs one history in which the declared instances change. */
export function findChangingViolations(
  choices: readonly number[],
  decisions: ModelDecisions,
): readonly string[] {
  const cluster = new ChangingCluster(decisions);
  cluster.electFirstPrimary();
  return runHistory(cluster, choices);
}

function runHistory(
  cluster: ModelCluster,
  choices: readonly number[],
): readonly string[] {
  for (const choice of choices) cluster.applyChoice(choice);
  cluster.settle();
  return cluster.check();
}
