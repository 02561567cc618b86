import {describe, it} from 'node:test';
import {expect} from 'earl';
import {unsafeUniformIntDistribution, xoroshiro128plus} from 'pure-rand';
import type {AdmissionRequest} from '../../src/index.js';
import {AdmissionQueue} from '../../src/index.js';

const SLOTS = 3;
const SERVICE_MS = 5;
const CAPACITY_PER_MS = SLOTS / SERVICE_MS;
const DEADLINE_MS = 300;
const DURATION_MS = 4_000;

/** One stream of requests with a given load. */
interface Load {
  readonly caller: string;
  readonly access: 'read' | 'write';
  /** Offered load as a fraction of the capacity of the slots. */
  readonly load: number;
  readonly weight?: number;
}

/** Outcome counts of one caller's requests. */
interface CallerCounts {
  offered: number;
  /** Answered before the deadline. */
  done: number;
  late: number;
  refused: number;
}

describe('AdmissionQueue', () => {
  for (const load of [0.9, 1.5, 3]) {
    it(`keeps goodput at ${load * 100}% of the capacity of the slots`, () => {
      const counts = simulate([{caller: 'a', access: 'read', load}]).get('a')!;
      const capacity = CAPACITY_PER_MS * DURATION_MS;
      const goodput = counts.done / Math.min(capacity, counts.offered);
      expect(goodput).toBeGreaterThanOrEqual(0.95);
      expect(counts.late).toEqual(0);
    });
  }

  it('keeps one caller from starving another', () => {
    const countsByCaller = simulate([
      {caller: 'greedy', access: 'read', load: 5},
      {caller: 'modest', access: 'read', load: 0.3},
    ]);
    const modest = countsByCaller.get('modest')!;
    expect(modest.done / modest.offered).toBeGreaterThanOrEqual(0.95);
  });

  it('shares by weight while both callers exceed their share', () => {
    const countsByCaller = simulate([
      {caller: 'light', access: 'read', load: 2, weight: 1},
      {caller: 'heavy', access: 'read', load: 2, weight: 3},
    ]);
    const ratio =
      countsByCaller.get('heavy')!.done / countsByCaller.get('light')!.done;
    expect(ratio).toBeGreaterThanOrEqual(2.5);
    expect(ratio).toBeLessThanOrEqual(3.5);
  });

  for (const [many, few] of [
    ['read', 'write'],
    ['write', 'read'],
  ] as const) {
    it(`keeps ${many}s from starving ${few}s`, () => {
      const countsByCaller = simulate([
        {caller: 'family', access: many, load: 5},
        {caller: 'caterer', access: few, load: 0.4},
      ]);
      const caterer = countsByCaller.get('caterer')!;
      expect(caterer.done / caterer.offered).toBeGreaterThanOrEqual(0.95);
    });
  }

  it('refuses at once a request that would wait too long, whatever its deadline', () => {
    const queue = new AdmissionQueue(1);
    const actions = Array.from({length: 120}, (_, index) => {
      return queue.offer(request(`${index}`, 60_000), 0, 0).action;
    });
    expect(actions.indexOf('refuse')).toEqual(101);
    expect(queue.waiting).toEqual(100);
  });

  it('refuses at once a request that cannot meet its deadline', () => {
    const queue = new AdmissionQueue(1);
    expect(queue.offer(request('1', 4), 0, 0)).toEqual({
      action: 'refuse',
      reason: 'deadline',
      retryAfterMs: 52,
    });
  });

  it('expires a queued request as soon as it can no longer be served', () => {
    const queue = new AdmissionQueue(1);
    queue.offer(request('1', 1_000), 0, 0);
    expect(queue.offer(request('2', 20), 0, 0).action).toEqual('queue');
    expect(queue.advance(14).expire).toEqual([]);
    expect(queue.advance(16).expire).toEqual([request('2', 20)]);
  });

  it('removes a request whose caller has disconnected', () => {
    const queue = new AdmissionQueue(1);
    queue.offer(request('1', 1_000), 0, 0);
    queue.offer(request('2', 1_000), 0, 0);
    expect([queue.cancel('2'), queue.cancel('2')]).toEqual([true, false]);
    expect(queue.finish(undefined, 10)).toEqual({start: [], expire: []});
  });

  it('adds jitter to retry delays and increases them with the backlog', () => {
    const queue = new AdmissionQueue(1);
    const idle = [
      queue.computeRetryAfterMs(0),
      queue.computeRetryAfterMs(0.99),
    ];
    expect(idle).toEqual([50, 149]);
    for (let index = 0; index < 80; index += 1) {
      queue.offer(request(`${index}`, 10_000), 0, 0);
    }
    expect(queue.computeRetryAfterMs(0)).toBeGreaterThan(idle[0]! * 2);
  });

  it('reduces concurrency when statements wait for a slot', () => {
    const queue = new AdmissionQueue(8);
    const timing = {durationMs: 5, waitedMs: 0};
    runWork(queue, timing, 200);
    expect(queue.concurrency).toEqual(8);
    runWork(queue, {durationMs: 20, waitedMs: 15}, 200);
    expect(queue.concurrency).toEqual(1);
  });
});

/** Keeps the queue full while every request finishes with the same timing. */
function runWork(
  queue: AdmissionQueue,
  timing: {durationMs: number; waitedMs: number},
  times: number,
): void {
  for (let index = 0; index < times; index += 1) {
    for (let extraIndex = 0; extraIndex < 9; extraIndex += 1) {
      queue.offer(request(`${index}-${extraIndex}`, 1e9), 0, 0);
    }
    while (queue.inFlight > 0 && queue.waiting > 0) queue.finish(timing, 0);
  }
}

/** Runs Poisson loads through one queue to an instance with three slots. */
function simulate(loads: readonly Load[]): Map<string, CallerCounts> {
  const random = randomOf(54);
  const queue = new AdmissionQueue(SLOTS);
  const countsByCaller = new Map<string, CallerCounts>();
  const running: Array<{endMs: number; request: AdmissionRequest}> = [];
  const arrivals = loads
    .flatMap(load => arrivalsOf(load, random))
    .sort((left, right) => left.atMs - right.atMs);
  const countsOf = ({caller}: {caller: string}): CallerCounts => {
    const counts = countsByCaller.get(caller) ?? newCallerCounts();
    countsByCaller.set(caller, counts);
    return counts;
  };
  const start = (started: AdmissionRequest, nowMs: number): void => {
    running.push({endMs: nowMs + SERVICE_MS, request: started});
    running.sort((left, right) => left.endMs - right.endMs);
  };
  const endWork = (untilMs: number): void => {
    while ((running[0]?.endMs ?? Infinity) <= untilMs) {
      const {endMs, request: ended} = running.shift()!;
      const isLate = endMs > ended.deadlineAtMs;
      countsOf(ended)[isLate ? 'late' : 'done'] += 1;
      const effects = queue.finish(
        {durationMs: SERVICE_MS, waitedMs: 0},
        endMs,
      );
      for (const next of effects.start) start(next, endMs);
      for (const expired of effects.expire) countsOf(expired).refused += 1;
    }
  };
  for (const {atMs, request: arrived} of arrivals) {
    endWork(atMs);
    countsOf(arrived).offered += 1;
    const {action} = queue.offer(arrived, atMs, random());
    if (action === 'start') start(arrived, atMs);
    if (action === 'refuse') countsOf(arrived).refused += 1;
  }
  return countsByCaller;
}

function arrivalsOf(
  load: Load,
  random: () => number,
): Array<{atMs: number; request: AdmissionRequest}> {
  const gapMs = 1 / (load.load * CAPACITY_PER_MS);
  const arrivals: Array<{atMs: number; request: AdmissionRequest}> = [];
  let atMs = 0;
  while (atMs < DURATION_MS) {
    atMs += -Math.log(1 - random()) * gapMs;
    const {caller, access, weight = 1} = load;
    const id = `${caller}-${arrivals.length}`;
    const deadlineAtMs = atMs + DEADLINE_MS;
    arrivals.push({atMs, request: {id, caller, access, weight, deadlineAtMs}});
  }
  return arrivals;
}

function request(id: string, deadlineAtMs: number): AdmissionRequest {
  return {id, caller: 'a', weight: 1, access: 'read', deadlineAtMs};
}

function newCallerCounts(): CallerCounts {
  return {offered: 0, done: 0, late: 0, refused: 0};
}

function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  const steps = 2 ** 30;
  return () => unsafeUniformIntDistribution(0, steps - 1, generator) / steps;
}
