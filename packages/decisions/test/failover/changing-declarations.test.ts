import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {findChangingViolations, histories} from './model/histories.js';
import {DECLARED_MAJORITY_DECISIONS} from './model/declared-majority.js';
import {PRODUCT_DECISIONS} from './model/model-node.js';

const SEED = 4_004;
const HISTORIES = 8_000;

/** Histories in which the broken variant has to lose a write. */
const BROKEN_HISTORIES = 1_000;

describe('a group whose declared instances change at any time', () => {
  it('keeps every promise although the declarations of its owners differ', () => {
    fc.assert(
      fc.property(histories, choices => {
        const violations = findChangingViolations(choices, PRODUCT_DECISIONS);
        if (violations.length > 0) throw new Error(violations.join('; '));
      }),
      {seed: SEED, numRuns: HISTORIES, includeErrorInReport: true},
    );
  });

  it('loses writes if majorities of the declared instances decide', context => {
    const sampled = fc.sample(histories, {
      seed: SEED,
      numRuns: BROKEN_HISTORIES,
    });
    const lost = sampled
      .map(each => findChangingViolations(each, DECLARED_MAJORITY_DECISIONS))
      // The outcome of a history without a final primary cannot be checked.
      .filter(found => !found.some(each => each.includes('did not settle')))
      .flat()
      .filter(violation => violation.endsWith('is lost'));
    context.diagnostic(
      `${lost.length} acknowledged writes lost in ${BROKEN_HISTORIES} histories`,
    );
    expect(lost.length).toBeGreaterThan(0);
  });
});
