import {describe, it} from 'node:test';
import {expect} from 'earl';
import {createRandomSource, runClosedLoop, runOpenLoop} from '../src/index.js';

describe('createRandomSource', () => {
  it('returns the same numbers for the same seed', () => {
    const [first, second] = [createRandomSource(7), createRandomSource(7)];
    const numbers = Array.from({length: 5}, first);
    expect(Array.from({length: 5}, second)).toEqual(numbers);
    expect(numbers.every(value => value >= 0 && value <= 1)).toEqual(true);
  });
});

describe('runOpenLoop', () => {
  it('sends without waiting for earlier responses', async () => {
    let sent = 0;
    let answerAll = (): void => undefined;
    const answered = new Promise<void>(resolve => (answerAll = resolve));
    const total = await runOpenLoop({
      ratePerSecond: 1_000,
      durationMs: 50,
      random: createRandomSource(1),
      send: () => {
        sent += 1;
        if (sent === 5) answerAll();
        return answered;
      },
    });
    expect(total).toEqual(sent);
  });

  it('sends the same number of requests for the same seed', async () => {
    const run = (): Promise<number> =>
      runOpenLoop({
        ratePerSecond: 2_000,
        durationMs: 20,
        random: createRandomSource(3),
        send: async () => undefined,
      });
    expect(await run()).toEqual(await run());
  });
});

describe('runClosedLoop', () => {
  it('never has more requests in flight than allowed', async () => {
    let inFlight = 0;
    let maximumInFlight = 0;
    await runClosedLoop({
      concurrency: 3,
      durationMs: 20,
      send: async () => {
        inFlight += 1;
        maximumInFlight = Math.max(maximumInFlight, inFlight);
        await new Promise(resolve => setTimeout(resolve, 1));
        inFlight -= 1;
      },
    });
    expect(maximumInFlight).toEqual(3);
  });
});
