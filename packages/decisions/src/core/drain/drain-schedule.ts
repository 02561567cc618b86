/** Time for which a balancer may still choose a stopping process, in milliseconds; it probes once a second and needs two failed probes. */
const BALANCER_DELAY_MS = 2_300;

/** Fraction of the grace period in which open transactions may continue. */
const TRANSACTION_GRACE_FRACTION = 0.5;

/** Fraction of the grace period after which no statement may run any more. */
const ANSWER_GRACE_FRACTION = 0.85;

/** Fraction of the grace period after which the process stops in any case. */
const FORCED_STOP_GRACE_FRACTION = 0.9;

/** When the phases of a graceful stop begin, in milliseconds after the stop began. */
export interface DrainSchedule {
  /** When new callers and idle sessions are no longer kept. */
  readonly closesIdleAfterMs: number;
  /** When open transactions end and no further statement is run. */
  readonly finishesAfterMs: number;
  /** Deadline of every statement that runs. */
  readonly answersByMs: number;
  /** When requests that are still unanswered are abandoned. */
  readonly abandonsAfterMs: number;
}

/**
 * Divides the grace period of a stopping process.
 *
 * @param graceMs - Time until the process is killed, in milliseconds.
 */
export function scheduleDrain(graceMs: number): DrainSchedule {
  const finishesAfterMs = graceMs * TRANSACTION_GRACE_FRACTION;
  return {
    closesIdleAfterMs: Math.min(BALANCER_DELAY_MS, finishesAfterMs),
    finishesAfterMs,
    answersByMs: graceMs * ANSWER_GRACE_FRACTION,
    abandonsAfterMs: graceMs * FORCED_STOP_GRACE_FRACTION,
  };
}
