import {readFileSync} from 'node:fs';

/** Duration of a clock tick of the kernel, in milliseconds. */
const MS_PER_TICK = 10;
const BYTES_PER_KILOBYTE = 1_024;
const BYTES_PER_MEGABYTE = 1_048_576;

/** Indexes of the processor times in /proc/PID/stat, after the process name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Resource usage of a process. */
export interface ProcessUsage {
  /** Processor time since its start, in milliseconds. */
  readonly processorMs: number;
  /** Resident memory, in megabytes. */
  readonly residentMegabytes: number;
}

/** Reads the resource usage of a process from /proc. */
export function readProcessUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks =
    Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD]);
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = Number(/VmRSS:\s+(\d+)/.exec(status)?.[1] ?? 0);
  return {
    processorMs: ticks * MS_PER_TICK,
    residentMegabytes: (kilobytes * BYTES_PER_KILOBYTE) / BYTES_PER_MEGABYTE,
  };
}
