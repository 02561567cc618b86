import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {BASELINE_DECISIONS} from './model/baseline.js';
import {findViolations, histories} from './model/histories.js';
import {PRODUCT_DECISIONS} from './model/model-node.js';

const SEED = 4_003;
const HISTORIES = 1_000;

describe('the baseline in the same histories', () => {
  it('loses acknowledged writes where the product loses none', context => {
    const sampled = fc.sample(histories, {seed: SEED, numRuns: HISTORIES});
    const baselineLosses = sampled.map(choices => lostWrites(choices, true));
    const lossyHistories = baselineLosses.filter(count => count > 0).length;
    const lostTotal = baselineLosses.reduce((total, count) => total + count, 0);
    context.diagnostic(
      `${lostTotal} acknowledged writes lost in ${lossyHistories} of ${HISTORIES} histories`,
    );
    expect(lossyHistories > 0).toEqual(true);
    const productLosses = sampled.map(choices => lostWrites(choices, false));
    expect(productLosses.every(count => count === 0)).toEqual(true);
  });
});

/**
 * Counts the acknowledged writes that were lost. A history without a final
 * primary counts as 0, because its outcome cannot be checked.
 */
function lostWrites(choices: readonly number[], isBaseline: boolean): number {
  const decisions = isBaseline ? BASELINE_DECISIONS : PRODUCT_DECISIONS;
  const violations = findViolations(3, choices, decisions);
  if (violations.some(each => each.includes('did not settle'))) return 0;
  return violations.filter(each => each.endsWith('is lost')).length;
}
