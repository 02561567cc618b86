import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  MAXIMUM_SESSION_BYTES,
  maximumBytesOfSessions,
  SessionBudget,
  SessionValues,
} from '../../src/index.js';

describe('maximumBytesOfSessions', () => {
  it('is an eighth of the memory of the process', () => {
    expect(maximumBytesOfSessions(400)).toEqual(50_000_000);
  });

  it('is enough for one full session in any process', () => {
    expect(maximumBytesOfSessions(1)).toEqual(MAXIMUM_SESSION_BYTES);
  });
});

describe('SessionBudget', () => {
  it('takes fewer bytes, and no more, once the maximum is lower', () => {
    let maximumBytes = 10_000;
    const budget = new SessionBudget(() => maximumBytes);
    const values = new SessionValues(budget);
    expect(values.set('colour', 'x'.repeat(9_000))).toEqual(true);
    maximumBytes = 5_000;
    expect(values.set('shade', '')).toEqual(false);
    expect(values.set('colour', 'x'.repeat(8_000))).toEqual(true);
    expect(values.set('colour', 'x'.repeat(8_001))).toEqual(false);
    expect(values.set('colour', 'x'.repeat(1_000))).toEqual(true);
    expect(values.set('shade', '')).toEqual(true);
    values.clear();
    expect(budget.heldBytes).toEqual(0);
  });
});
