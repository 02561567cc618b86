import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {ConnectionAccounting} from '../../src/core/pool/connection-accounting.js';

const LIMIT = 4;

/** One step of a history; the time advances by 1 ms per step. */
type Step = 'open' | 'close' | 'arrive' | 'probe';

describe('ConnectionAccounting', () => {
  it('never lets the instance count more connections than the share', () => {
    const steps = fc.constantFrom<Step[]>('open', 'close', 'arrive', 'probe');
    fc.assert(
      fc.property(fc.array(steps, {maxLength: 80}), history => {
        replay(history);
      }),
      {seed: 55, numRuns: 2_000},
    );
  });

  it('frees the share when the instance no longer counts a closed connection', () => {
    const accounting = new ConnectionAccounting();
    const connections = [1, 2, 3, 4].map(number => ({number}));
    for (const connection of connections) {
      accounting.beginOpening();
      accounting.opened(connection, connection.number);
    }
    accounting.closed(connections[0]!, 10);
    accounting.applyInstanceCount(4, 11);
    expect(accounting.used).toEqual(4);
    accounting.applyInstanceCount(3, 12);
    expect(accounting.used).toEqual(3);
  });
});

describe('a count from a probe that was sent before a close', () => {
  it('is ignored', () => {
    const accounting = new ConnectionAccounting();
    const connection = {};
    accounting.beginOpening();
    accounting.opened(connection, 5);
    accounting.closed(connection, 6);
    accounting.applyInstanceCount(0, 4);
    expect(accounting.used).toEqual(1);
  });
});

/** Replays a history; the instance counts closes that have not arrived. */
function replay(history: readonly Step[]): void {
  const accounting = new ConnectionAccounting();
  const open: object[] = [];
  let pendingCloses = 0;
  history.forEach((step, nowMs) => {
    if (step === 'open' && accounting.used < LIMIT) {
      const connection = {nowMs};
      accounting.beginOpening();
      accounting.opened(connection, nowMs);
      open.push(connection);
    }
    const closing = step === 'close' ? open.shift() : undefined;
    if (closing !== undefined) {
      accounting.closed(closing, nowMs);
      pendingCloses += 1;
    }
    if (step === 'arrive') pendingCloses = Math.max(0, pendingCloses - 1);
    if (step === 'probe')
      accounting.applyInstanceCount(open.length + pendingCloses, nowMs);
    expect(open.length + pendingCloses).toBeLessThanOrEqual(LIMIT);
  });
}
