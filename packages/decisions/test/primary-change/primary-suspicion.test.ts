import {describe, it} from 'node:test';
import {expect} from 'earl';
import {PrimarySuspicion} from '../../src/index.js';

const PRIMARY = 'ledger-0';

describe('PrimarySuspicion', () => {
  it('lasts while a dark primary has neither pending commands nor a failed attempt to connect', () => {
    const suspicion = new PrimarySuspicion();
    // Dark from 4,400 ms on: commands are pending until 5,500, the next connection fails at 6,400.
    const problemAt = (nowMs: number): string | undefined => {
      if (nowMs < 5_000) return undefined;
      if (nowMs < 5_500) return 'it does not respond';
      return nowMs < 6_400 ? undefined : 'it is unreachable';
    };
    const suspectedAt: number[] = [];
    for (let nowMs = 4_000; nowMs < 8_000; nowMs += 100) {
      const evidence = {
        primary: PRIMARY,
        problem: problemAt(nowMs),
        lastAnsweredAtMs: Math.min(nowMs, 4_400),
      };
      if (suspicion.update(evidence, nowMs) !== undefined)
        suspectedAt.push(nowMs);
    }
    const every100Ms = Array.from({length: 30}, (_, i) => 5_000 + i * 100);
    expect(suspectedAt).toEqual(every100Ms);
  });

  it('ends with the first answer', () => {
    const suspicion = new PrimarySuspicion();
    const problem = 'it does not respond';
    suspicion.update({primary: PRIMARY, problem, lastAnsweredAtMs: 0}, 1_000);
    const evidence = {primary: PRIMARY, problem: undefined};
    expect(suspicion.update({...evidence, lastAnsweredAtMs: 0}, 1_100)).toEqual(
      problem,
    );
    expect(
      suspicion.update({...evidence, lastAnsweredAtMs: 1_150}, 1_200),
    ).toEqual(undefined);
    expect(
      suspicion.update({...evidence, lastAnsweredAtMs: 1_150}, 1_300),
    ).toEqual(undefined);
  });

  it('does not pass to the next primary', () => {
    const suspicion = new PrimarySuspicion();
    const problem = 'it is unreachable';
    suspicion.update({primary: PRIMARY, problem, lastAnsweredAtMs: 0}, 1_000);
    expect(
      suspicion.update(
        {primary: 'ledger-1', problem: undefined, lastAnsweredAtMs: 0},
        1_100,
      ),
    ).toEqual(undefined);
  });
});
