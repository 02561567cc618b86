import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ConnectionAccounting} from '../../src/core/pool/connection-accounting.js';

const LIMIT = 4;

/** One step of a history; times rise by one with each step. */
type Step = 'open' | 'close' | 'arrive' | 'probe';

describe('ConnectionLedger', () => {
  it('never lets the instance count more connections than the share', () => {
    const steps = fc.constantFrom<Step[]>('open', 'close', 'arrive', 'probe');
    fc.assert(
      fc.property(fc.array(steps, {maxLength: 80}), history => {
        replay(history);
      }),
      {seed: 55, numRuns: 2_000},
    );
  });

  it('gives the share back when the instance no longer counts a closed one', () => {
    const ledger = new ConnectionAccounting();
    const connections = [1, 2, 3, 4].map(number => ({number}));
    for (const connection of connections) {
      ledger.beginOpening();
      ledger.opened(connection, connection.number);
    }
    ledger.closed(connections[0]!, 10);
    ledger.applyInstanceCount(4, 11);
    expect(ledger.used).toEqual(4);
    ledger.applyInstanceCount(3, 12);
    expect(ledger.used).toEqual(3);
  });
});

describe('a count from a probe that was sent before a close', () => {
  it('is not believed', () => {
    const ledger = new ConnectionAccounting();
    const connection = {};
    ledger.beginOpening();
    ledger.opened(connection, 5);
    ledger.closed(connection, 6);
    ledger.applyInstanceCount(0, 4);
    expect(ledger.used).toEqual(1);
  });
});

/** The true count includes every close that has not arrived yet. */
function replay(history: readonly Step[]): void {
  const ledger = new ConnectionAccounting();
  const open: object[] = [];
  let unarrived = 0;
  history.forEach((step, nowMs) => {
    if (step === 'open' && ledger.used < LIMIT) {
      const connection = {nowMs};
      ledger.beginOpening();
      ledger.opened(connection, nowMs);
      open.push(connection);
    }
    const closing = step === 'close' ? open.shift() : undefined;
    if (closing !== undefined) {
      ledger.closed(closing, nowMs);
      unarrived += 1;
    }
    if (step === 'arrive') unarrived = Math.max(0, unarrived - 1);
    if (step === 'probe')
      ledger.applyInstanceCount(open.length + unarrived, nowMs);
    expect(open.length + unarrived).toBeLessThanOrEqual(LIMIT);
  });
}
