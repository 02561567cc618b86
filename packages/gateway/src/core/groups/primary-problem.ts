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
  /** The directory is out of date, so the primary may have been leaving for too long. */
  Unlisted: 'its registration is out of date',
  /** The primary has been leaving for too long and was not replaced. */
  Leaving: 'leaving',
} as const;

/** A reason why the primary cannot be used. */
export type PrimaryProblem =
  (typeof PrimaryProblem)[keyof typeof PrimaryProblem];
