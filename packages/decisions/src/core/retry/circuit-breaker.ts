/** Whether an instance is tried at all. */
export interface CircuitBreakerState {
  /** Failures since the last success. */
  readonly failures: number;
  /** Until when the instance is not tried, in milliseconds. */
  readonly openUntilMs: number;
  /** Whether the one trial after that time is under way. */
  readonly hasTrialInFlight: boolean;
}

/** A circuit that lets everything pass. */
export const CLOSED_CIRCUIT: CircuitBreakerState = {
  failures: 0,
  openUntilMs: -Infinity,
  hasTrialInFlight: false,
};

/** Failures in a row that open the circuit. */
const FAILURES_TO_OPEN = 5;

/** First time that a circuit stays open, in milliseconds. */
const INITIAL_OPEN_MS = 200;

/** Longest time that a circuit stays open, in milliseconds. */
const MAXIMUM_OPEN_MS = 5_000;

/** Says whether a request may be sent to the instance. */
export function canSendThroughCircuit(
  circuit: CircuitBreakerState,
  nowMs: number,
): boolean {
  if (circuit.failures < FAILURES_TO_OPEN) return true;
  return nowMs >= circuit.openUntilMs && !circuit.hasTrialInFlight;
}

/** Takes in that a request is sent; past the open time it is the one trial. */
export function recordCircuitAttempt(
  circuit: CircuitBreakerState,
): CircuitBreakerState {
  if (circuit.failures < FAILURES_TO_OPEN) return circuit;
  return {...circuit, hasTrialInFlight: true};
}

/**
 * Takes in that the instance did not answer.
 *
 * @param random - A number from 0 up to 1 that spreads the trials of owners.
 */
export function recordCircuitFailure(
  circuit: CircuitBreakerState,
  nowMs: number,
  random: number,
): CircuitBreakerState {
  const failures = circuit.failures + 1;
  const times = Math.max(0, failures - FAILURES_TO_OPEN);
  const openMs = Math.min(MAXIMUM_OPEN_MS, INITIAL_OPEN_MS * 2 ** times);
  const openUntilMs = nowMs + openMs * (0.5 + random);
  return {failures, openUntilMs, hasTrialInFlight: false};
}
