import type {DrainSchedule} from '@sapphireglade/decisions';
import {DrainPhase} from '@sapphireglade/decisions';
import type {Logger} from '@sapphireglade/runtime';
import {setTimeout as sleep} from 'node:timers/promises';
import type {ForwardingService} from '../forwarding/index.js';
import type {CallerServer} from '../servers/index.js';
import {steadyNowMs, withTimeout} from '../time/index.js';

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
  readonly schedule: DrainSchedule;
  readonly log: Logger;
}

/**
 * Lets open statements and transactions finish within the grace period, and
 * answers every request that was accepted.
 *
 * New callers are served until the balancer has taken this process out.
 */
export async function drainCallers(options: DrainOptions): Promise<void> {
  const {callerServer, forwarding, beganAtMs, schedule} = options;
  await withTimeout(options.deregister(), DEREGISTRATION_TIMEOUT_MS);
  await sleep(beganAtMs + schedule.closesIdleAfterMs - steadyNowMs());
  callerServer.enterPhase(DrainPhase.ClosingIdle);
  forwarding.drain();
  await waitForCallers(options, beganAtMs + schedule.finishesAfterMs);
  logRemaining(options, 'Statements are no longer accepted.');
  callerServer.enterPhase(DrainPhase.Finishing);
  forwarding.endForwardedTransactions();
  await waitForCallers(options, beganAtMs + schedule.abandonsAfterMs);
  logRemaining(options, 'Requests without a result are abandoned.');
  callerServer.enterPhase(DrainPhase.Abandoning);
}

async function waitForCallers(
  {callerServer, forwarding}: DrainOptions,
  deadlineMs: number,
): Promise<void> {
  const isServing = (): boolean =>
    callerServer.openConnections + forwarding.activeForwardedCount > 0;
  while (isServing() && steadyNowMs() < deadlineMs) {
    await sleep(STOP_POLL_MS);
  }
}

/** Logs what is still open when a phase of the stop begins, if anything is. */
function logRemaining(
  {callerServer, forwarding, beganAtMs, log}: DrainOptions,
  message: string,
): void {
  const connections = callerServer.openConnections;
  const forwarded = forwarding.activeForwardedCount;
  if (connections + forwarded === 0) return;
  log.info(message, {
    connections,
    forwarded,
    afterMs: Math.round(steadyNowMs() - beganAtMs),
  });
}
