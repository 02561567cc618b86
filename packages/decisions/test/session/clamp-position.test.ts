import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {LogPosition, TermStart} from '../../src/index.js';
import {clampPosition} from '../../src/index.js';

/** One case: position seen, starts of the current terms, required position. */
type Row = [
  name: string,
  seen: [term: number, position: number],
  starts: Array<[term: number, position: number]>,
  required: [term: number, position: number],
];

const ROWS: Row[] = [
  [
    'is of the current term',
    [2, 95],
    [
      [1, 0],
      [2, 90],
    ],
    [2, 95],
  ],
  [
    'is of a newer term',
    [3, 95],
    [
      [1, 0],
      [2, 90],
    ],
    [3, 95],
  ],
  [
    'is still in the log of the next term',
    [1, 80],
    [
      [1, 0],
      [2, 90],
    ],
    [1, 80],
  ],
  [
    'was truncated by the next term',
    [1, 99],
    [
      [1, 0],
      [2, 90],
    ],
    [1, 90],
  ],
  [
    'was truncated two terms later',
    [1, 99],
    [
      [1, 0],
      [2, 95],
      [3, 97],
    ],
    [1, 95],
  ],
  [
    'is of a term without entries in the log',
    [2, 95],
    [
      [1, 0],
      [3, 85],
    ],
    [1, 85],
  ],
  [
    'is of a lost term and the current log is longer',
    [2, 95],
    [
      [1, 0],
      [3, 100],
    ],
    [1, 95],
  ],
  [
    'is of a term older than the listed ones',
    [1, 40],
    [
      [5, 60],
      [6, 70],
    ],
    [1, 40],
  ],
  [
    'is the empty log',
    [0, 0],
    [
      [1, 0],
      [2, 90],
    ],
    [0, 0],
  ],
];

describe('clampPosition', () => {
  for (const [name, seen, starts, required] of ROWS) {
    it(`requires the right entry when the position ${name}`, () => {
      const termStarts = starts.map(([term, position]): TermStart => {
        return {term, position};
      });
      const view = {
        group: 'ledger-1',
        term: termStarts.at(-1)!.term,
        primary: 'ledger-1-a',
        termStarts,
      };
      expect(clampPosition(at(seen), view)).toEqual(at(required));
    });
  }
});

function at([term, position]: [number, number]): LogPosition {
  return {term, position};
}
