import {describe, it} from 'node:test';
import {expect} from 'earl';
import {raceWithHedge} from '../../src/core/execution/hedged-request.js';

/** Whether an attempt succeeds, and after how many units of 5 ms. */
type Attempt = [isSuccess: boolean, turns: number] | undefined;

const ROWS: Array<
  [name: string, first: Attempt, second: Attempt, expected: string]
> = [
  ['the first alone', [true, 1], [true, 1], 'first'],
  ['the second, which is quicker', [true, 30], [true, 1], 'second, late 1'],
  ['the first when the second fails', [true, 30], [false, 1], 'first'],
  ['the second when the first fails late', [false, 30], [true, 40], 'second'],
  ['the error when both fail', [false, 20], [false, 30], 'error second'],
  ['the error when there is no second', [false, 20], undefined, 'error first'],
];

describe('raceWithHedge', () => {
  for (const [name, first, second, expected] of ROWS) {
    it(`gives ${name}`, async () => {
      let late = 0;
      const result = await raceWithHedge(attempt('first', first)!, {
        delayMs: 5,
        startSecond: () => attempt('second', second),
        onLateResult: () => (late += 1),
      }).catch((error: Error) => `error ${error.message}`);
      await attempt('all attempts have ended', [true, 60]);
      expect(late > 0 ? `${result}, late ${late}` : result).toEqual(expected);
    });
  }
});

function attempt(name: string, plan: Attempt): Promise<string> | undefined {
  if (plan === undefined) return undefined;
  const [isSuccess, turns] = plan;
  return new Promise((resolve, reject) => {
    setTimeout(
      () => (isSuccess ? resolve(name) : reject(new Error(name))),
      turns * 5,
    );
  });
}
