/** Phases of a process in the order in which a graceful stop passes them. */
export const DrainPhase = {
  /** Everything is served. */
  Serving: 'serving',
  /** Idle sessions are closed; open transactions continue. */
  ClosingIdle: 'closing-idle',
  /** Running statements may finish; any other statement is refused. */
  Finishing: 'finishing',
  /** Requests without a result are answered as such. */
  Abandoning: 'abandoning',
} as const;

/** A value of {@link DrainPhase}. */
export type DrainPhase = (typeof DrainPhase)[keyof typeof DrainPhase];

/** What to do with the connection of a caller. */
export const ConnectionAction = {
  /** Serve what is queued and keep the connection. */
  Keep: 'keep',
  /** Close the connection; every request on it has been answered. */
  Close: 'close',
  /** Answer every request on it without a result, then close it. */
  Abandon: 'abandon',
} as const;

/** A value of {@link ConnectionAction}. */
export type ConnectionAction =
  (typeof ConnectionAction)[keyof typeof ConnectionAction];

/** State of a caller's connection. */
export interface CallerConnectionState {
  readonly phase: DrainPhase;
  /** Whether a request is unanswered, running or queued. */
  readonly hasRequest: boolean;
  /** Whether the caller has an open transaction, as far as it was told. */
  readonly hasOpenTransaction: boolean;
}

/**
 * Decides what a process does with the connection of a caller.
 *
 * A connection is never closed while a request on it is unanswered. A caller
 * whose transaction ended between two of its statements learns it from the
 * answer to the next one, as an answer states that nothing was kept and a closed
 * connection does not.
 *
 * @param state - Phase of the stop, and what is open on the connection.
 */
export function decideConnectionAction({
  phase,
  hasRequest,
  hasOpenTransaction,
}: CallerConnectionState): ConnectionAction {
  if (phase === DrainPhase.Serving) return ConnectionAction.Keep;
  if (phase === DrainPhase.Abandoning) {
    return hasRequest ? ConnectionAction.Abandon : ConnectionAction.Close;
  }
  return hasRequest || hasOpenTransaction
    ? ConnectionAction.Keep
    : ConnectionAction.Close;
}
