import type {InstanceCandidate} from './types.js';

/** Added to the cost of the primary, which also serves the writes, in milliseconds. */
const PRIMARY_PENALTY_MS = 10;

/** Added to the cost of an instance behind a paid link, in milliseconds. */
const PAID_LINK_PENALTY_MS = 20;

/** How long an instance is ranked last after it failed, in milliseconds. */
const FAILURE_COOLDOWN_MS = 1_000;

/** Added for an instance that has failed or is behind, in milliseconds; longer than a usual queue. */
const AVOIDANCE_PENALTY_MS = 2_000;

/**
 * Orders instances for a read by their expected completion time.
 *
 * @param candidates - Instances that may serve the read.
 * @param nowMs - The time, in milliseconds of the process clock.
 * @returns The candidates, best first.
 */
export function rankInstances(
  candidates: readonly InstanceCandidate[],
  nowMs: number,
): InstanceCandidate[] {
  return candidates
    .map(candidate => ({candidate, costMs: estimateCostMs(candidate, nowMs)}))
    .sort((left, right) => left.costMs - right.costMs)
    .map(({candidate}) => candidate);
}

/** Estimates the cost of a read: expected time plus penalties, in milliseconds. */
function estimateCostMs(candidate: InstanceCandidate, nowMs: number): number {
  const connections = Math.max(1, candidate.connections);
  const waitMs =
    candidate.free > 0
      ? 0
      : ((candidate.queued + 1) * candidate.holdingMs) / connections;
  const hasFailed = nowMs - candidate.lastFailedAtMs < FAILURE_COOLDOWN_MS;
  return (
    waitMs +
    (candidate.catchUpMs > 0 ? AVOIDANCE_PENALTY_MS + candidate.catchUpMs : 0) +
    candidate.roundTripMs +
    (candidate.isPrimary ? PRIMARY_PENALTY_MS : 0) +
    (candidate.isPaidLink ? PAID_LINK_PENALTY_MS : 0) +
    (hasFailed ? AVOIDANCE_PENALTY_MS : 0)
  );
}
