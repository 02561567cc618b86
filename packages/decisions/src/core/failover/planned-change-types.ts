/** Phase of a planned change. */
export const PlannedChangePhase = {
  /** New writes are held until those in progress have ended. */
  Draining: 'draining',
  /** The target replica catches up with the position of the primary. */
  CatchingUp: 'catching-up',
  /** The election of the target is in progress. */
  Electing: 'electing',
} as const;

/** One of the phases of a planned change. */
export type PlannedChangePhase =
  (typeof PlannedChangePhase)[keyof typeof PlannedChangePhase];

/** A change of primary while the current one still works. */
export interface PlannedChange {
  /** Term of the current primary. */
  readonly term: number;
  readonly target: string;
  readonly reason: string;
  readonly startedAtMs: number;
  readonly phase: PlannedChangePhase;
  /** When the phase began, in milliseconds. */
  readonly phaseSinceMs: number;
  /** When the primary and the target were last probed, in milliseconds. */
  readonly probedAtMs?: number;
}
