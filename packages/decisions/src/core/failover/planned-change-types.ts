/** Where a planned change stands. */
export const PlannedChangePhase = {
  /** New writes are held back and those in progress end. */
  Draining: 'draining',
  /** The chosen replica reaches the position of the primary. */
  CatchingUp: 'catching-up',
  /** The term is being asked for. */
  Electing: 'electing',
} as const;

/** One of the phases. */
export type PlannedChangePhase =
  (typeof PlannedChangePhase)[keyof typeof PlannedChangePhase];

/** A change of primary while the old one still works. */
export interface PlannedChange {
  /** Term of the present primary. */
  readonly term: number;
  readonly target: string;
  readonly reason: string;
  readonly startedAtMs: number;
  readonly phase: PlannedChangePhase;
  /** When the phase began, in milliseconds. */
  readonly phaseSinceMs: number;
  /** When both ends were last asked where they stand, in milliseconds. */
  readonly probedAtMs?: number;
}
