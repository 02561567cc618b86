/** Reasons why the primary cannot be used at present. */
export const PrimaryProblem = {
  /** No primary is recorded yet. */
  Unknown: 'unknown',
  /** The primary is being replaced. */
  Changing: 'changing',
  /** The view of the record has expired, so it may be out of date. */
  Unconfirmed: 'unconfirmed',
  /** The recorded primary is not in the directory. */
  Missing: 'missing',
} as const;

/** A reason why the primary cannot be used. */
export type PrimaryProblem =
  (typeof PrimaryProblem)[keyof typeof PrimaryProblem];
