import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {PooledConnection} from '../src/index.js';
import {unresponsiveSince, commitsStalledSince} from '../src/index.js';

/** When a connection was last answered, and when its oldest pending commands were sent. */
interface Times {
  readonly lastAnsweredAtMs: number;
  readonly unansweredSinceMs?: number;
  readonly unansweredCommitSinceMs?: number;
}

function connections(...times: readonly Times[]): PooledConnection[] {
  return times as unknown as PooledConnection[];
}

describe('unresponsiveSince', () => {
  const rows: ReadonlyArray<
    [name: string, times: readonly Times[], sinceMs: number | undefined]
  > = [
    ['no command is pending', [{lastAnsweredAtMs: 5}], undefined],
    [
      'the only connection has a pending command',
      [{lastAnsweredAtMs: 5, unansweredSinceMs: 10}],
      10,
    ],
    [
      'one answer is lost while another connection is answered',
      [{lastAnsweredAtMs: 5, unansweredSinceMs: 10}, {lastAnsweredAtMs: 400}],
      400,
    ],
    [
      'all connections have a pending command',
      [
        {lastAnsweredAtMs: 5, unansweredSinceMs: 10},
        {lastAnsweredAtMs: 6, unansweredSinceMs: 30},
      ],
      10,
    ],
  ];
  for (const [name, times, sinceMs] of rows) {
    it(`counts from the right time when ${name}`, () => {
      expect(unresponsiveSince(connections(...times))).toEqual(sinceMs);
    });
  }
});

describe('commitsStalledSince', () => {
  it('does not count pending reads', () => {
    const reading = connections({lastAnsweredAtMs: 0, unansweredSinceMs: 10});
    expect(commitsStalledSince(reading, 0)).toEqual(undefined);
  });

  it('does not count one lost commit while others are acknowledged', () => {
    const lost = connections({
      lastAnsweredAtMs: 0,
      unansweredCommitSinceMs: 10,
    });
    expect(commitsStalledSince(lost, 700)).toEqual(700);
  });

  it('counts from the oldest commit when none is acknowledged', () => {
    const stalled = connections(
      {lastAnsweredAtMs: 0, unansweredCommitSinceMs: 10},
      {lastAnsweredAtMs: 0, unansweredCommitSinceMs: 90},
    );
    expect(commitsStalledSince(stalled, 5)).toEqual(10);
  });
});
