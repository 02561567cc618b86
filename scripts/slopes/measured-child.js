import {fork} from 'node:child_process';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const SETTLE_MS = 2_000;
const MICROSECONDS_PER_SECOND = 1_000_000;
const BYTES_PER_KILOBYTE = 1_000;

/**
 * Starts a script as the measured child process.
 *
 * @param script - Path of the script.
 * @param args - Arguments of the script.
 * @returns Child process that is ready.
 */
export async function startMeasured(script, args) {
  const child = fork(script, args, {execArgv: ['--expose-gc']});
  await nextMessage(child);
  return child;
}

/**
 * Measures a child process for some seconds after a settling time.
 *
 * @param child - Result of {@link startMeasured}.
 * @param seconds - Duration of the measurement.
 * @returns Processor use in percent of a core, bytes per second and heap size.
 */
export async function measureChild(child, seconds) {
  await sleep(SETTLE_MS);
  const before = await requestUsage(child);
  await sleep(seconds * 1_000);
  const after = await requestUsage(child);
  const cpuSeconds = (after.cpuUs - before.cpuUs) / MICROSECONDS_PER_SECOND;
  return {
    cpuPercent: (100 * cpuSeconds) / seconds,
    bytesPerSecond: (after.bytes - before.bytes) / seconds,
    heapKb: after.heap / BYTES_PER_KILOBYTE,
  };
}

/**
 * Reports the resource usage on request; called by the measured process.
 *
 * @param countBytes - Returns the bytes sent and received so far.
 */
export function reportUsage(countBytes) {
  process.on('message', () => {
    globalThis.gc?.();
    const {user, system} = process.cpuUsage();
    const {heapUsed, external} = process.memoryUsage();
    process.send({
      cpuUs: user + system,
      bytes: countBytes(),
      heap: heapUsed + external,
    });
  });
  process.send({});
}

/** Requests the current resource usage of the measured process. */
function requestUsage(child) {
  child.send({});
  return nextMessage(child);
}

function nextMessage(child) {
  return new Promise(resolve => child.once('message', resolve));
}
