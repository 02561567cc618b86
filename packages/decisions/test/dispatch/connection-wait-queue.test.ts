import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {ConnectionCapacity} from '../../src/index.js';
import {ConnectionWaitQueue} from '../../src/index.js';

interface Request {
  readonly name: number;
  readonly priority: number;
  readonly deadlineMs: number;
}

const CAPACITY: ConnectionCapacity = {connections: 2, holdingMs: 30};

/** Outcomes of a burst of requests on few connections, by request name. */
interface Replay {
  readonly served: readonly number[];
  readonly late: readonly number[];
  readonly refused: readonly number[];
}

/** Serves a burst; each request holds a connection for the same time. */
function replay(
  burst: readonly Request[],
  queue: ConnectionWaitQueue<Request>,
): Replay {
  const refused = burst
    .filter(request => queue.offer(request, CAPACITY, 0) !== undefined)
    .map(({name}) => name);
  const served: number[] = [];
  const late: number[] = [];
  let nowMs = CAPACITY.holdingMs / CAPACITY.connections;
  for (let next = queue.take(); next !== undefined; next = queue.take()) {
    (nowMs <= next.deadlineMs ? served : late).push(next.name);
    nowMs += CAPACITY.holdingMs / CAPACITY.connections;
  }
  return {served, late, refused};
}

const BURST = fc
  .array(
    fc.record({
      priority: fc.nat(2),
      deadlineMs: fc.integer({min: 5, max: 800}),
    }),
    {maxLength: 120},
  )
  .map(rows => rows.map((row, name) => ({...row, name})));

describe('ConnectionWaitQueue', () => {
  it('serves by priority, then by deadline', () => {
    const queue = new ConnectionWaitQueue<Request>();
    const offers = [
      {name: 1, priority: 2, deadlineMs: 900},
      {name: 2, priority: 1, deadlineMs: 900},
      {name: 3, priority: 1, deadlineMs: 500},
      {name: 4, priority: 0, deadlineMs: 900},
    ];
    for (const offer of offers) queue.offer(offer, CAPACITY, 0);
    const order = offers.map(() => queue.take()?.name);
    expect(order).toEqual([4, 3, 2, 1]);
  });

  it('refuses at once a request that cannot be served in time, with a retry delay', () => {
    const queue = new ConnectionWaitQueue<Request>();
    for (let name = 0; name < 10; name += 1) {
      queue.offer({name, priority: 1, deadlineMs: 1_000}, CAPACITY, 0);
    }
    const refusal = queue.offer(
      {name: 10, priority: 1, deadlineMs: 100},
      CAPACITY,
      0,
    );
    // It is first among requests of equal priority, so its wait is short.
    expect(refusal).toEqual(undefined);
    const unservable = queue.offer(
      {name: 11, priority: 2, deadlineMs: 100},
      CAPACITY,
      0,
    );
    expect(unservable?.expectedWaitMs).toEqual(180);
    expect(unservable?.retryAfterMs).toEqual(180);
  });

  it('never loses or duplicates a request of a burst', () => {
    fc.assert(
      fc.property(BURST, burst => {
        const {served, late, refused} = replay(
          burst,
          new ConnectionWaitQueue(),
        );
        const all = [...served, ...late, ...refused].sort((a, b) => a - b);
        expect(all).toEqual(burst.map(({name}) => name));
      }),
      {seed: 3, numRuns: 500},
    );
  });

  it('removes exactly the requests past their deadline', () => {
    fc.assert(
      fc.property(BURST, fc.nat(800), (burst, nowMs) => {
        const queue = new ConnectionWaitQueue<Request>();
        const waiting = burst.filter(
          request => queue.offer(request, CAPACITY, 0) === undefined,
        );
        const late = queue.removeExpired(nowMs).map(({name}) => name);
        const expected = waiting
          .filter(({deadlineMs}) => deadlineMs <= nowMs)
          .map(({name}) => name);
        expect([...late].sort()).toEqual([...expected].sort());
        expect(queue.length).toEqual(waiting.length - late.length);
      }),
      {seed: 4, numRuns: 300},
    );
  });
});
