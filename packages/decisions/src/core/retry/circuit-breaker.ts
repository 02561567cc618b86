/** State of the circuit breaker of one instance. */
export interface CircuitBreakerState {
  /** Number of failures since the last success. */
  readonly failures: number;
  /** Time until which no request is sent to the instance, in milliseconds. */
  readonly openUntilMs: number;
  /** Whether the single trial request after that time is in flight. */
  readonly hasTrialInFlight: boolean;
}

/** A closed circuit, which allows every request. */
export const CLOSED_CIRCUIT: CircuitBreakerState = {
  failures: 0,
  openUntilMs: -Infinity,
  hasTrialInFlight: false,
};

/** Number of consecutive failures that opens the circuit. */
const FAILURES_TO_OPEN = 5;

/** Initial time that a circuit stays open, in milliseconds; doubles each time. */
const INITIAL_OPEN_MS = 200;

/** Maximum time that a circuit stays open before jitter, in milliseconds. */
const MAXIMUM_OPEN_MS = 5_000;

/** Returns whether a request may be sent to the instance. */
export function canSendThroughCircuit(
  circuit: CircuitBreakerState,
  nowMs: number,
): boolean {
  if (circuit.failures < FAILURES_TO_OPEN) return true;
  return nowMs >= circuit.openUntilMs && !circuit.hasTrialInFlight;
}

/** Records that a request is sent; after the open time it is the trial request. */
export function recordCircuitAttempt(
  circuit: CircuitBreakerState,
): CircuitBreakerState {
  if (circuit.failures < FAILURES_TO_OPEN) return circuit;
  return {...circuit, hasTrialInFlight: true};
}

/**
 * Records that the instance did not answer.
 *
 * @param random - A random number in [0, 1); adds jitter so that owners do not send
 *   their trials at the same time.
 */
export function recordCircuitFailure(
  circuit: CircuitBreakerState,
  nowMs: number,
  random: number,
): CircuitBreakerState {
  const failures = circuit.failures + 1;
  const doublings = Math.max(0, failures - FAILURES_TO_OPEN);
  const openMs = Math.min(MAXIMUM_OPEN_MS, INITIAL_OPEN_MS * 2 ** doublings);
  const openUntilMs = nowMs + openMs * (0.5 + random);
  return {failures, openUntilMs, hasTrialInFlight: false};
}
