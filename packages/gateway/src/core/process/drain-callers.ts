import {setTimeout as sleep} from 'node:timers/promises';
import type {ForwardingService} from '../forwarding/index.js';
import type {CallerServer} from '../servers/index.js';
import {withTimeout} from '../time/index.js';

/** Time for which new callers are still served after a stop began, in milliseconds; the balancer probes once a second and needs two failed probes. */
const BALANCER_DELAY_MS = 2_300;

/** Fraction of the grace period in which open transactions may end. */
const TRANSACTION_GRACE_FRACTION = 0.5;

/** Fraction of the grace period after which the process stops in any case. */
const FORCED_STOP_GRACE_FRACTION = 0.9;

/** Timeout for removing this process from the store, in milliseconds; its leases expire anyway. */
export const DEREGISTRATION_TIMEOUT_MS = 250;

/** Interval at which a stopping process checks for remaining callers, in milliseconds. */
const STOP_POLL_MS = 50;

/** What a stopping process still serves, and how long it may. */
export interface DrainOptions {
  readonly callerServer: CallerServer;
  readonly forwarding: ForwardingService;
  /** Removes this process from the store, so that others take over while it still serves. */
  readonly deregister: () => Promise<unknown>;
  /** When the stop began, in milliseconds of the steady clock. */
  readonly beganAtMs: number;
  /** Time from then until the process has to have stopped, in milliseconds. */
  readonly graceMs: number;
}

/**
 * Lets open statements and transactions finish within the grace period.
 *
 * New callers are served until the balancer has taken this process out.
 */
export async function drainCallers(options: DrainOptions): Promise<void> {
  const {callerServer, forwarding, beganAtMs, graceMs} = options;
  await withTimeout(options.deregister(), DEREGISTRATION_TIMEOUT_MS);
  await sleep(BALANCER_DELAY_MS);
  callerServer.drain();
  forwarding.drain();
  await waitForCallers(
    options,
    beganAtMs + graceMs * TRANSACTION_GRACE_FRACTION,
  );
  callerServer.endOpenTransactions();
  forwarding.endForwardedTransactions();
  await waitForCallers(
    options,
    beganAtMs + graceMs * FORCED_STOP_GRACE_FRACTION,
  );
}

async function waitForCallers(
  {callerServer, forwarding}: DrainOptions,
  deadlineMs: number,
): Promise<void> {
  const isServing = (): boolean =>
    callerServer.openConnections + forwarding.activeForwardedCount > 0;
  while (isServing() && performance.now() < deadlineMs) {
    await sleep(STOP_POLL_MS);
  }
}
