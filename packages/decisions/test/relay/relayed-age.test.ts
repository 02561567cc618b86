import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as fc from 'fast-check';
import {
  canBeginRelay,
  MAXIMUM_RELAY_INTERVAL_MS,
  maximumRelayedAgeMs,
  maximumWatchAgeMs,
} from '../../src/index.js';

/** Longest time of a request to another proxy or to the store, in milliseconds. */
const TRIP_MS = 100;

/** Times within which a configuration must be in force, in milliseconds. */
const LIMITS_MS = [3_000, 10_000] as const;

/** One proxy that owns groups, one that asks it, and the moment at which the first loses the store. */
interface Replay {
  readonly withinMs: number;
  /** When the watch of the owner began, in milliseconds. */
  readonly watchBeganAtMs: number;
  /** When the owner loses the store; it goes on answering the other proxy. */
  readonly lostAtMs: number;
  /** Intervals between the requests of the other proxy, in milliseconds. */
  readonly intervalsMs: readonly number[];
}

/** When the proxy that does not own groups reads the store itself, in milliseconds. */
function replay({
  withinMs,
  watchBeganAtMs,
  lostAtMs,
  intervalsMs,
}: Replay): number {
  const watchMs = maximumWatchAgeMs(withinMs, true);
  const confirmedAt = (atMs: number): number => {
    const untilMs = Math.min(atMs, lostAtMs);
    const watches = Math.floor((untilMs - watchBeganAtMs) / watchMs);
    return watchBeganAtMs + Math.max(0, watches) * watchMs;
  };
  let nowMs = watchBeganAtMs;
  let confirmedAtMs = watchBeganAtMs;
  for (let index = 0; ; index += 1) {
    const askedAtMs = nowMs;
    nowMs += TRIP_MS;
    const expiresAtMs = confirmedAtMs + maximumRelayedAgeMs(withinMs);
    if (expiresAtMs <= nowMs) return expiresAtMs;
    const ageMs = nowMs - confirmedAt(nowMs - TRIP_MS);
    confirmedAtMs = Math.max(confirmedAtMs, askedAtMs - ageMs);
    const pauseMs = intervalsMs[index % intervalsMs.length]!;
    const laterMs = confirmedAtMs + maximumRelayedAgeMs(withinMs);
    if (laterMs <= nowMs + pauseMs) return laterMs;
    nowMs += pauseMs;
    if (nowMs > lostAtMs + 3 * withinMs) return Infinity;
  }
}

const intervals = fc.array(
  fc.integer({min: 375, max: MAXIMUM_RELAY_INTERVAL_MS}),
  {minLength: 1, maxLength: 40},
);

describe('the age of relayed content', () => {
  for (const withinMs of LIMITS_MS) {
    // Guards against configurations that are late, because each hop has a bound of its own.
    it(`lets a proxy read a change itself within ${withinMs} ms, whenever its source lost the store`, () => {
      fc.assert(
        fc.property(
          fc.integer({min: 0, max: 20_000}),
          intervals,
          (lostAtMs, intervalsMs) => {
            const readsAtMs = replay({
              withinMs,
              watchBeganAtMs: 0,
              lostAtMs,
              intervalsMs,
            });
            // The change follows the loss at once, so that the source never has it.
            expect(readsAtMs + TRIP_MS < lostAtMs + withinMs).toEqual(true);
          },
        ),
        {seed: 41},
      );
    });

    it(`never lets it read the store itself within ${withinMs} ms beside a source that has it`, () => {
      fc.assert(
        fc.property(intervals, intervalsMs => {
          const readsAtMs = replay({
            withinMs,
            watchBeganAtMs: 0,
            lostAtMs: 60_000,
            intervalsMs,
          });
          expect(readsAtMs > 60_000).toEqual(true);
        }),
        {seed: 41},
      );
    });

    it(`lets a proxy begin with a source that has just confirmed its watch, within ${withinMs} ms`, () => {
      const oldestMs = maximumWatchAgeMs(withinMs, true) + TRIP_MS;
      expect(canBeginRelay(oldestMs, withinMs)).toEqual(true);
      expect(canBeginRelay(maximumRelayedAgeMs(withinMs), withinMs)).toEqual(
        false,
      );
    });
  }

  it('lets a proxy that relays nothing ask the store less often', () => {
    expect(maximumWatchAgeMs(3_000, false)).toEqual(1_900);
    expect(maximumWatchAgeMs(3_000, true)).toEqual(1_475);
  });
});
