import {describe, it} from 'node:test';
import {expect} from 'earl';
import {
  comparePositions,
  PrimaryPositionHistory,
  ReplicationLagEstimate,
} from '../../src/index.js';

/** Interval between two commits on the primary, in milliseconds. */
const COMMIT_INTERVAL_MS = 40;

/** Interval between two reads, in milliseconds. */
const READ_INTERVAL_MS = 25;

/** Interval of the pings of a replica that is avoided, in milliseconds. */
const PING_INTERVAL_MS = 300;

/** Duration of the replayed load, in milliseconds. */
const REPLAY_MS = 20_000;

/** Reads of the replayed load, by where they went. */
interface ReadCounts {
  served: number;
  refused: number;
  toPrimary: number;
}

function positionAt(timeMs: number): {term: number; position: number} {
  const commits = Math.floor(Math.max(0, timeMs) / COMMIT_INTERVAL_MS);
  return {term: 1, position: commits};
}

/**
 * Replays reads on a replica that shows what the primary had some time ago. A
 * read goes to the replica if the estimate says that it has caught up.
 *
 * @param lagMs - Lag of the replica at a time.
 * @param allowedAgeMs - Age that the reads allow; 0 for reads of own commits.
 */
function replayReads(
  lagMs: (nowMs: number) => number,
  allowedAgeMs: number,
): ReadCounts {
  const history = new PrimaryPositionHistory();
  const estimate = new ReplicationLagEstimate();
  const counts: ReadCounts = {served: 0, refused: 0, toPrimary: 0};
  const shown = (nowMs: number) => positionAt(nowMs - lagMs(nowMs));
  for (let nowMs = 1; nowMs < REPLAY_MS; nowMs += 1) {
    if (nowMs % COMMIT_INTERVAL_MS === 0)
      history.recordObservation(nowMs, positionAt(nowMs));
    if (nowMs % PING_INTERVAL_MS === 0 && estimate.currentMs > PING_INTERVAL_MS)
      estimate.record(shown(nowMs), nowMs, nowMs, history);
    if (nowMs % READ_INTERVAL_MS !== 0) continue;
    const required =
      history.findPositionSince(nowMs - allowedAgeMs) ?? history.newest;
    if (required === undefined) continue;
    if (estimate.timeToReach(required.position, nowMs, history) > 0) {
      counts.toPrimary += 1;
      continue;
    }
    const isBehind = comparePositions(shown(nowMs), required.position) < 0;
    counts[isBehind ? 'refused' : 'served'] += 1;
    estimate.record(shown(nowMs), nowMs, nowMs, history);
  }
  return counts;
}

describe('ReplicationLagEstimate', () => {
  it('sends next to no read of an own commit to a replica before it has received it', () => {
    const {refused} = replayReads(() => 60, 0);
    expect(refused * 100 < REPLAY_MS / READ_INTERVAL_MS).toEqual(true);
  });

  it('sends every read that allows more than the lag to the replica', () => {
    const counts = replayReads(() => 60, 1_500);
    expect(counts.refused + counts.toPrimary < 3).toEqual(true);
    expect(counts.served > 700).toEqual(true);
  });

  describe('while a replica falls far behind and catches up again', () => {
    const isStuck = (nowMs: number): boolean => nowMs > 4_000 && nowMs < 14_000;
    const lagMs = (nowMs: number): number =>
      isStuck(nowMs) ? nowMs - 3_940 : 60;

    it('refuses next to nothing, instead of probing with reads', () => {
      const {refused} = replayReads(lagMs, 2_000);
      expect(refused * 100 < REPLAY_MS / READ_INTERVAL_MS).toEqual(true);
    });

    it('uses the replica again right after it has caught up', () => {
      const {served} = replayReads(lagMs, 2_000);
      const usableMs = REPLAY_MS - (14_000 - 5_940) - 2 * PING_INTERVAL_MS;
      expect(served > usableMs / READ_INTERVAL_MS - 10).toEqual(true);
    });
  });

  it('does not distrust a replica because of an idle primary', () => {
    const history = new PrimaryPositionHistory();
    const estimate = new ReplicationLagEstimate();
    const position = {term: 1, position: 7};
    for (let nowMs = 0; nowMs < 5_000; nowMs += 300) {
      history.recordObservation(nowMs, position);
      estimate.record(position, nowMs, nowMs + 2, history);
    }
    expect(estimate.currentMs).toEqual(0);
  });
});
