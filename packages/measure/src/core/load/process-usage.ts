import {readFileSync} from 'node:fs';

/** Clock ticks of the kernel in a second, in milliseconds a tick. */
const MS_PER_TICK = 10;
const BYTES_PER_KILOBYTE = 1_024;
const BYTES_PER_MEGABYTE = 1_048_576;

/** Position of the two processor times after the name in /proc/PID/stat. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** What a process has used. */
export interface ProcessUsage {
  /** Processor time since its start, in milliseconds. */
  readonly processorMs: number;
  /** Memory that it holds now, in megabytes. */
  readonly residentMegabytes: number;
}

/** Reads what a process has used, from the kernel. */
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
