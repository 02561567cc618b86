import {describe, it} from 'node:test';
import fc from 'fast-check';
import type {ModelDecisions} from './model-node.js';
import {PRODUCT_DECISIONS} from './model-node.js';
import {ModelCluster} from './model-cluster.js';

const HISTORY_LENGTH = 100;
const MAXIMUM_CHOICE = 2 ** 20;

/** Lists of choices, each of which drives one history. */
export const histories = fc.array(fc.nat(MAXIMUM_CHOICE), {
  minLength: HISTORY_LENGTH,
  maxLength: HISTORY_LENGTH,
});

/** Declares the test that the product keeps every promise in all histories. */
export function describeHistories(
  size: number,
  seed: number,
  numRuns: number,
): void {
  describe('change of primary against all logs in one place', () => {
    it(`keeps every promise with ${size} instances`, () => {
      fc.assert(
        fc.property(histories, choices => {
          const faults = findViolations(size, choices, PRODUCT_DECISIONS);
          if (faults.length > 0) throw new Error(faults.join('; '));
        }),
        {seed, numRuns, includeErrorInReport: true},
      );
    });
  });
}

/** Runs one history to its end and lists the promises that it broke. */
export function findViolations(
  size: number,
  choices: readonly number[],
  decisions: ModelDecisions,
): readonly string[] {
  const world = new ModelCluster(size, decisions);
  // Three histories of four begin with a primary, the others with none.
  if ((choices[0] ?? 0) % 4 !== 0) world.electFirstPrimary();
  for (const choice of choices) world.applyChoice(choice);
  world.settle();
  return world.check();
}
