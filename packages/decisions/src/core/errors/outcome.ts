/** Outcome of a statement as reported to its caller. */
export const Outcome = {
  /** The statement ran and its effect is confirmed. */
  Done: 'done',
  /** The statement did not run and will not run. */
  NotRun: 'not run',
  /** It is not known whether the statement ran. */
  Unknown: 'unknown',
  /** The statement ran, but a majority did not confirm it in time. */
  RanUnconfirmed: 'ran but unconfirmed',
} as const;

/** A value of {@link Outcome}. */
export type Outcome = (typeof Outcome)[keyof typeof Outcome];
