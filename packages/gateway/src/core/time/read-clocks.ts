import {performance} from 'node:perf_hooks';
import type {ClockReading} from '@sapphireglade/decisions';

/** Reads both clocks of the process. */
export function readClocks(): ClockReading {
  return {steadyMs: performance.now(), wallMs: Date.now()};
}

/** The steady clock, in milliseconds. */
export function steadyNowMs(): number {
  return performance.now();
}
