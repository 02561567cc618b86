import type {InstanceCandidate} from './types.js';

/** Added for the primary, which also carries the writes, in milliseconds. */
const PRIMARY_PENALTY_MS = 10;

/** Added for a paid link, in milliseconds. */
const PAID_LINK_PENALTY_MS = 20;

/** How long an instance that was behind is asked last, in milliseconds. */
const BEHIND_COOLDOWN_MS = 300;

/** How long an instance that failed is asked last, in milliseconds. */
const FAILURE_COOLDOWN_MS = 1_000;

/** Added for an instance that rests; longer than any ordinary queue. */
const COOLDOWN_PENALTY_MS = 2_000;

/**
 * Orders instances for a read by the time that it would probably take.
 *
 * @param options - Instances that may serve the read.
 * @param nowMs - The time, in milliseconds of the process clock.
 * @returns The options, best first.
 */
export function rankInstances(
  options: readonly InstanceCandidate[],
  nowMs: number,
): InstanceCandidate[] {
  return options
    .map(option => ({option, costMs: estimateCostMs(option, nowMs)}))
    .sort((left, right) => left.costMs - right.costMs)
    .map(({option}) => option);
}

/** Expected time of a read at an instance, with penalties, in milliseconds. */
function estimateCostMs(option: InstanceCandidate, nowMs: number): number {
  const connections = Math.max(1, option.connections);
  const waitMs =
    option.free > 0
      ? 0
      : ((option.queued + 1) * option.holdingMs) / connections;
  const isBehind = nowMs - option.lastBehindAtMs < BEHIND_COOLDOWN_MS;
  const hasFailed = nowMs - option.lastFailedAtMs < FAILURE_COOLDOWN_MS;
  return (
    waitMs +
    option.roundTripMs +
    (option.isPrimary ? PRIMARY_PENALTY_MS : 0) +
    (option.isPaidLink ? PAID_LINK_PENALTY_MS : 0) +
    (isBehind ? COOLDOWN_PENALTY_MS : 0) +
    (hasFailed ? COOLDOWN_PENALTY_MS : 0)
  );
}
