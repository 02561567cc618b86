import type {LogPosition} from '../groups/index.js';
import {comparePositions} from '../groups/index.js';
import type {FreshnessPoint} from './types.js';

/** Finds the first point that is proven at or after a time. */
export function findFirstProvenSince(
  points: readonly FreshnessPoint[],
  timeMs: number,
): FreshnessPoint | undefined {
  return binarySearchFirst(points, ({provenAtMs}) => provenAtMs >= timeMs);
}

/** Finds the first point at or past a position. */
export function findFirstAtOrAfter(
  points: readonly FreshnessPoint[],
  position: LogPosition,
): FreshnessPoint | undefined {
  return binarySearchFirst(
    points,
    point => comparePositions(point.position, position) >= 0,
  );
}

/** Finds the first point past a position. */
export function findFirstAfter(
  points: readonly FreshnessPoint[],
  position: LogPosition,
): FreshnessPoint | undefined {
  return binarySearchFirst(
    points,
    point => comparePositions(point.position, position) > 0,
  );
}

/** Finds the first ascending point that satisfies a monotonic predicate. */
function binarySearchFirst(
  points: readonly FreshnessPoint[],
  isMatch: (point: FreshnessPoint) => boolean,
): FreshnessPoint | undefined {
  let low = 0;
  let high = points.length;
  while (low < high) {
    const middle = (low + high) >>> 1;
    const point = points[middle];
    if (point !== undefined && isMatch(point)) high = middle;
    else low = middle + 1;
  }
  return points[low];
}
