import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {TimelineEvent} from '../../src/index.js';
import {
  compareEvents,
  findGaps,
  matchesFilter,
  mergeEvents,
  mergeRemoteTimestamp,
  advanceTimestamp,
  toTimelineEntries,
  ZERO_TIMESTAMP,
} from '../../src/index.js';

const RUNS = {seed: 7_001, numRuns: 500};

/** A step of a random history: a local event, or also a message to a process. */
interface Step {
  readonly process: number;
  readonly target: number;
  readonly sends: boolean;
  readonly elapsedMs: number;
}

const historyArbitrary = fc.record({
  skews: fc.array(fc.integer({min: -5_000, max: 5_000}), {
    minLength: 3,
    maxLength: 3,
  }),
  steps: fc.array(
    fc.record({
      process: fc.nat(2),
      target: fc.nat(2),
      sends: fc.boolean(),
      elapsedMs: fc.nat(3),
    }),
    {maxLength: 60},
  ),
});

describe('mergeEvents', () => {
  it('orders every cause before its effect despite clock skew', () => {
    fc.assert(
      fc.property(historyArbitrary, ({skews, steps}) => {
        const {events, causes} = runHistory(skews, steps);
        const merged = mergeEvents(splitByProcess(events));
        const place = new Map(merged.map((event, index) => [event, index]));
        return causes.every(
          ([cause, effect]) => place.get(cause)! < place.get(effect)!,
        );
      }),
      RUNS,
    );
  });

  it('equals one-by-one insertion of the events, whatever the batches', () => {
    fc.assert(
      fc.property(historyArbitrary, fc.nat(5), ({skews, steps}, repeats) => {
        const {events} = runHistory(skews, steps);
        const repeated = events.slice(0, repeats);
        const merged = mergeEvents([repeated, [...events].reverse()]);
        expect(merged).toEqual(insertOneByOne(events));
      }),
      RUNS,
    );
  });
});

describe('findGaps', () => {
  it('finds exactly the removed events', () => {
    fc.assert(
      fc.property(
        historyArbitrary,
        fc.func(fc.boolean()),
        ({skews, steps}, isKept) => {
          const all = runHistory(skews, steps).events;
          const kept = all.filter(event => isKept(event.sequence));
          const missing = findGaps(mergeEvents([kept])).flatMap(gap =>
            range(gap.firstMissing, gap.lastMissing!).map(
              sequence => `${gap.process} ${sequence}`,
            ),
          );
          expect(missing.sort()).toEqual(missingBeforeLastKept(all, kept));
        },
      ),
      RUNS,
    );
  });

  const cases = [
    {name: 'nothing is missing', events: [at('a', 1), at('a', 2)], gaps: []},
    {
      name: 'the oldest events were dropped',
      events: [at('a', 4)],
      gaps: [{firstMissing: 1, lastMissing: 3}],
    },
    {
      name: 'the process was replaced by a new run',
      events: [at('a', 1), {...at('a', 1), boot: 'second', at: time(9)}],
      gaps: [{firstMissing: 2, lastMissing: null}],
    },
    {
      name: 'each stream has its own sequence',
      events: [at('a', 1), {...at('a', 1), kind: 'request-retried'}],
      gaps: [],
    },
  ];
  for (const {name, events, gaps} of cases) {
    it(`reports the gaps if ${name}`, () => {
      const found = findGaps(events).map(({firstMissing, lastMissing}) => ({
        firstMissing,
        lastMissing,
      }));
      expect(found).toEqual(gaps);
    });
  }

  it('places a gap before the event that follows it', () => {
    const events = [at('a', 1), at('a', 5)];
    const types = toTimelineEntries(events, findGaps(events)).map(
      entry => entry.type,
    );
    expect(types).toEqual(['event', 'gap', 'event']);
  });
});

describe('matchesFilter', () => {
  const event: TimelineEvent = {
    ...at('a', 1),
    kind: 'request-retried',
    fields: {group: 'ledger', requestId: 'r-1', reason: 'x'},
  };
  const cases = [
    {filter: {}, passes: true},
    {filter: {group: 'ledger'}, passes: true},
    {filter: {group: 'other'}, passes: false},
    {filter: {proxy: 'a', requestId: 'r-1'}, passes: true},
    {filter: {proxy: 'b', requestId: 'r-1'}, passes: false},
    {filter: {requestId: 'r-2'}, passes: false},
    {filter: {kinds: ['link-opened', 'request-retried']}, passes: true},
    {filter: {kinds: ['link-opened']}, passes: false},
  ];
  for (const {filter, passes} of cases) {
    it(`returns ${passes} for ${JSON.stringify(filter)}`, () => {
      expect(matchesFilter(event, filter)).toEqual(passes);
    });
  }
});

/** Executes steps on three processes with skewed clocks. */
function runHistory(
  skews: readonly number[],
  steps: readonly Step[],
): {events: TimelineEvent[]; causes: [TimelineEvent, TimelineEvent][]} {
  const clocks = skews.map(() => ZERO_TIMESTAMP);
  const sequences = skews.map(() => 0);
  const events: TimelineEvent[] = [];
  const causes: [TimelineEvent, TimelineEvent][] = [];
  let nowMs = 100_000;
  const record = (process: number): TimelineEvent => {
    clocks[process] = advanceTimestamp(
      clocks[process]!,
      nowMs + skews[process]!,
    );
    sequences[process]! += 1;
    const name = `p${process}`;
    const event = {...at(name, sequences[process]!), at: clocks[process]};
    events.push(event);
    return event;
  };
  for (const {process, target, sends, elapsedMs} of steps) {
    nowMs += elapsedMs;
    const cause = record(process);
    if (!sends || target === process) continue;
    const wallMs = nowMs + skews[target]!;
    clocks[target] = mergeRemoteTimestamp(clocks[target]!, cause.at, wallMs);
    causes.push([cause, record(target)]);
  }
  return {events, causes};
}

function at(process: string, sequence: number): TimelineEvent {
  return {
    process,
    boot: 'first',
    sequence,
    at: time(sequence),
    kind: 'link-opened',
    fields: {peer: 'x'},
  };
}

function time(wallMs: number): TimelineEvent['at'] {
  return {wallMs, counter: 0};
}

function splitByProcess(events: readonly TimelineEvent[]): TimelineEvent[][] {
  const names = [...new Set(events.map(event => event.process))];
  return names.map(name => events.filter(event => event.process === name));
}

function insertOneByOne(events: readonly TimelineEvent[]): TimelineEvent[] {
  const result: TimelineEvent[] = [];
  for (const event of events) {
    const place = result.findIndex(other => compareEvents(other, event) > 0);
    result.splice(place === -1 ? result.length : place, 0, event);
  }
  return result;
}

function missingBeforeLastKept(
  all: readonly TimelineEvent[],
  kept: readonly TimelineEvent[],
): string[] {
  const lastKept = (process: string): number =>
    Math.max(
      0,
      ...kept
        .filter(event => event.process === process)
        .map(event => event.sequence),
    );
  return all
    .filter(event => !kept.includes(event))
    .filter(event => event.sequence < lastKept(event.process))
    .map(event => `${event.process} ${event.sequence}`)
    .sort();
}

function range(first: number, last: number): number[] {
  return Array.from({length: last - first + 1}, (_, index) => first + index);
}
