import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {LogPosition} from '../../src/index.js';
import {comparePositions, leastCommitPosition} from '../../src/index.js';

const OPTIONS = {seed: 50_072, numRuns: 2_000};

/** Most proxies that write at the same time. */
const MAXIMUM_PROXIES = 4;

/** What happens at one primary, with a number that picks a proxy. */
const event = fc.tuple(
  fc.constantFrom('send', 'append', 'answer', 'receive'),
  fc.nat(MAXIMUM_PROXIES - 1),
);

/** A commit of one proxy, as an observer of the log knows it. */
interface ObservedCommit {
  before: LogPosition | undefined;
  position: LogPosition | undefined;
  answered: LogPosition | undefined;
}

/** A primary that appends commits of proxies, which learn its position from answers that are under way for a while. */
class ObservedPrimary {
  /** Commits whose answers have arrived. */
  readonly received: ObservedCommit[] = [];
  private length: number;
  private readonly shown: Array<LogPosition | undefined>;
  private readonly pending: Array<ObservedCommit | undefined> = [];

  constructor(
    private readonly term: number,
    start: number,
  ) {
    this.length = start;
    this.shown = Array<undefined>(MAXIMUM_PROXIES).fill(undefined);
  }

  apply(name: string, proxy: number): void {
    const commit = this.pending[proxy];
    switch (name) {
      case 'send':
        this.pending[proxy] ??= {
          before: this.shown[proxy],
          position: undefined,
          answered: undefined,
        };
        return;
      case 'append':
        if (commit === undefined || commit.position !== undefined) return;
        this.length += 1;
        commit.position = this.position;
        return;
      case 'answer':
        if (commit?.position !== undefined) commit.answered ??= this.position;
        return;
      default:
        if (commit?.answered === undefined) return;
        this.shown[proxy] = commit.answered;
        this.pending[proxy] = undefined;
        this.received.push(commit);
    }
  }

  private get position(): LogPosition {
    return {term: this.term, position: this.length};
  }
}

/** Plays events and returns the commits that were answered. */
function play(
  start: number,
  events: ReadonlyArray<readonly [string, number]>,
): ObservedCommit[] {
  const primary = new ObservedPrimary(3, start);
  for (const [name, proxy] of events) primary.apply(name, proxy);
  return primary.received;
}

const history = fc.tuple(
  fc.nat(20),
  fc.array(event, {minLength: 20, maxLength: 200}),
);

describe('leastCommitPosition', () => {
  it('is never beyond the commit, whoever else writes', () => {
    let known = 0;
    let exact = 0;
    let overstated = 0;
    fc.assert(
      fc.property(history, ([start, events]) => {
        for (const commit of play(start, events)) {
          const {position, answered} = commit;
          if (position === undefined || answered === undefined) continue;
          if (comparePositions(answered, position) > 0) overstated += 1;
          const least = leastCommitPosition(commit);
          if (least === undefined) continue;
          known += 1;
          expect(comparePositions(least, position) <= 0).toEqual(true);
          if (comparePositions(least, position) === 0) exact += 1;
        }
      }),
      OPTIONS,
    );
    // The position of the answer would have been beyond some of them.
    expect(overstated > 0).toEqual(true);
    expect(known > 0 && exact > 0 && exact < known).toEqual(true);
  });

  describe('without a proof', () => {
    const before = {term: 3, position: 4};

    it('is unknown if nothing was known before', () => {
      const answered = {term: 3, position: 5};
      const least = leastCommitPosition({before: undefined, answered});
      expect(least).toEqual(undefined);
    });

    it('is unknown if the answer has no position', () => {
      const least = leastCommitPosition({before, answered: undefined});
      expect(least).toEqual(undefined);
    });

    it('is unknown if the answer is of another term', () => {
      for (const term of [2, 4]) {
        const answered = {term, position: 9};
        expect(leastCommitPosition({before, answered})).toEqual(undefined);
      }
    });

    it('is unknown if the log has become shorter, or no longer', () => {
      for (const position of [0, 3, 4]) {
        const answered = {term: 3, position};
        expect(leastCommitPosition({before, answered})).toEqual(undefined);
      }
    });
  });

  it('follows what was known before, not the end of the log', () => {
    const answered = {term: 3, position: 90};
    const least = leastCommitPosition({
      before: {term: 3, position: 4},
      answered,
    });
    expect(least).toEqual({term: 3, position: 5});
  });
});
