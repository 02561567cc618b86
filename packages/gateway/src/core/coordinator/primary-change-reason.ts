/** Why a primary is replaced. */
export const PrimaryChangeReason = {
  /** The primary cannot be used. */
  Unusable: 'unusable',
  /** The primary is leaving. */
  Leaving: 'leaving',
  /** Another coordinator started the change and did not finish it. */
  Unfinished: 'unfinished',
} as const;

/** A reason to replace a primary. */
export type PrimaryChangeReason =
  (typeof PrimaryChangeReason)[keyof typeof PrimaryChangeReason];
