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
    const lost = sampled.map(choices => lostWrites(choices, true));
    const broken = lost.filter(count => count > 0).length;
    const sum = lost.reduce((total, count) => total + count, 0);
    context.diagnostic(
      `${sum} acknowledged writes lost in ${broken} of ${HISTORIES} histories`,
    );
    expect(broken > 0).toEqual(true);
    const own = sampled.map(choices => lostWrites(choices, false));
    expect(own.every(count => count === 0)).toEqual(true);
  });
});

/** Counts what is lost; a history without a final primary says nothing. */
function lostWrites(choices: readonly number[], isBaseline: boolean): number {
  const decisions = isBaseline ? BASELINE_DECISIONS : PRODUCT_DECISIONS;
  const faults = findViolations(3, choices, decisions);
  if (faults.some(fault => fault.includes('did not settle'))) return 0;
  return faults.filter(fault => fault.endsWith('is lost')).length;
}
