import {performance} from 'node:perf_hooks';
import type {ClockReading} from '@sapphireglade/decisions';

/** Reads the steady clock and the wall clock of the process. */
export function readClocks(): ClockReading {
  return {steadyMs: performance.now(), wallMs: Date.now()};
}

/** Returns the time of the steady clock, in milliseconds. */
export function steadyNowMs(): number {
  return performance.now();
}
