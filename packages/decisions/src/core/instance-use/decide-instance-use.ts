/** Whether an instance may receive new statements, or why it may not. */
export const InstanceUse = {
  Allowed: 'allowed',
  /** The instance is leaving. */
  Leaving: 'leaving',
  /** The instance may have been leaving for too long, as the directory is out of date. */
  Unconfirmed: 'its registration is out of date',
} as const;

/** A value of {@link InstanceUse}. */
export type InstanceUse = (typeof InstanceUse)[keyof typeof InstanceUse];

/**
 * Longest time that is allowed from the decision until a statement reaches the
 * instance, in milliseconds; includes the session values that are set before.
 */
export const MAXIMUM_SEND_MS = 1_000;

/** Part of a short limit that is allowed for sending. */
const SEND_PART = 0.25;

/** Longest interval between two reads of the directory by a proxy that chooses from it, in milliseconds. */
const MAXIMUM_READ_INTERVAL_MS = 3_000;

/** Shortest such interval, in milliseconds. */
const MINIMUM_READ_INTERVAL_MS = 100;

/**
 * Returns the age up to which an up-to-date response about an instance allows
 * its use, in milliseconds.
 *
 * @param leaveWithinMs - Time within which a leaving instance must no longer
 *   receive statements, in milliseconds.
 */
export function maximumConfirmationAgeMs(leaveWithinMs: number): number {
  return leaveWithinMs - Math.min(MAXIMUM_SEND_MS, leaveWithinMs * SEND_PART);
}

/**
 * Returns the interval in which a proxy that chooses instances reads the
 * directory, in milliseconds: half of the time for which a read counts, so that
 * a failed one can be repeated.
 *
 * @param leaveWithinMs - Time within which a leaving instance must no longer
 *   receive statements, in milliseconds.
 */
export function directoryReadIntervalMs(leaveWithinMs: number): number {
  const halfMs = maximumConfirmationAgeMs(leaveWithinMs) / 2;
  return Math.min(
    MAXIMUM_READ_INTERVAL_MS,
    Math.max(MINIMUM_READ_INTERVAL_MS, halfMs),
  );
}

/** What a proxy knows about an instance when it chooses from the directory. */
export interface InstanceUseInputs {
  /** Whether the instance is the primary of its group, which a leave has to replace first. */
  readonly isPrimary: boolean;
  readonly isLeaving: boolean;
  /**
   * Time since the request whose response last showed, up to date, that the
   * instance was not leaving, in milliseconds; Infinity if none did.
   */
  readonly stayedAgoMs: number;
  /** Time within which a leaving instance must no longer receive statements, in milliseconds. */
  readonly leaveWithinMs: number;
  /** Whether the store answers, so that the directory can be read again. */
  readonly isStoreReachable: boolean;
}

/**
 * Decides whether an instance may receive new statements.
 *
 * A leave that is unknown can only have been accepted after the request whose
 * response last showed that the instance stays. Until the age of that request,
 * plus the time to send a statement, reaches the limit, the instance has not
 * been leaving for too long, whoever chooses and whatever its role was before.
 *
 * A replica that is known to leave has substitutes and receives nothing new. A
 * primary serves while it is replaced, but not past the limit, because it may
 * stop at any time after that.
 *
 * While the store does not answer, nothing newer can be learned, and instances
 * that are not known to leave stay in use.
 *
 * @param inputs - What is known about the instance.
 */
export function decideInstanceUse({
  isPrimary,
  isLeaving,
  stayedAgoMs,
  leaveWithinMs,
  isStoreReachable,
}: InstanceUseInputs): InstanceUse {
  const isWithinLimit = stayedAgoMs < maximumConfirmationAgeMs(leaveWithinMs);
  if (isLeaving) {
    return isPrimary && isWithinLimit
      ? InstanceUse.Allowed
      : InstanceUse.Leaving;
  }
  return isWithinLimit || !isStoreReachable
    ? InstanceUse.Allowed
    : InstanceUse.Unconfirmed;
}
