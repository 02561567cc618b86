import {describe, it} from 'node:test';
import {expect} from 'earl';
import {CommitGate} from '../../src/index.js';

/** Interval between two writes of the replayed load, in milliseconds. */
const WRITE_INTERVAL_MS = 20;

/** Time within which a write that was sent ends without an answer, in milliseconds. */
const REPLAY_MS = 6_000;

/** Replays steady writes on a primary whose replicas receive nothing. */
function replayStall(gate: CommitGate): {sent: number; refused: number[]} {
  const refused: number[] = [];
  let sent = 0;
  for (let nowMs = 0; nowMs < REPLAY_MS; nowMs += WRITE_INTERVAL_MS) {
    const retryAfterMs = gate.offer(nowMs);
    if (retryAfterMs !== undefined) {
      refused.push(retryAfterMs);
      continue;
    }
    sent += 1;
    gate.recordSent(nowMs);
  }
  return {sent, refused};
}

describe('CommitGate', () => {
  describe('while no replica confirms commits', () => {
    it('refuses most commits before they run, and probes twice a second', () => {
      const {sent, refused} = replayStall(new CommitGate());
      expect(sent).toEqual(26 + 11);
      expect(refused.length).toEqual(REPLAY_MS / WRITE_INTERVAL_MS - 37);
    });

    it('says when the next commit is sent', () => {
      const {refused} = replayStall(new CommitGate());
      expect(refused.every(each => each > 0 && each <= 500)).toEqual(true);
    });

    it('sends every commit again once one is confirmed', () => {
      const gate = new CommitGate();
      replayStall(gate);
      gate.recordAnswered();
      expect(gate.offer(REPLAY_MS)).toEqual(undefined);
      expect(gate.offer(REPLAY_MS)).toEqual(undefined);
    });
  });

  it('refuses nothing after a single lost answer', () => {
    const gate = new CommitGate();
    gate.recordSent(0);
    expect(gate.offer(5_000)).toEqual(undefined);
    expect(gate.offer(5_000)).toEqual(undefined);
  });

  it('refuses nothing while commits are slow but answered', () => {
    const gate = new CommitGate();
    const refused = Array.from({length: 100}, (_, index) => {
      const nowMs = index * 400;
      const retryAfterMs = gate.offer(nowMs);
      gate.recordSent(nowMs);
      if (index % 2 === 1) gate.recordAnswered();
      return retryAfterMs;
    }).filter(each => each !== undefined);
    expect(refused).toEqual([]);
  });
});
