import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {STAND_INS_PROGRAM_PATH} from './program-paths.js';

/**
 * Kills the processes of a fleet even if the launcher crashes. A helper process
 * receives every process id on its standard input and, when that closes, kills
 * the processes that are still running.
 */
export class ProcessReaper {
  private readonly child: ChildProcess;

  /** Starts the helper process. */
  constructor() {
    this.child = spawn(process.execPath, [STAND_INS_PROGRAM_PATH, 'guard'], {
      stdio: ['pipe', 'ignore', 'ignore'],
      detached: true,
    });
    this.child.unref();
    this.child.stdin?.on('error', () => undefined);
  }

  /** Reports that a process has started or exited. */
  report(pid: number, isRunning: boolean): void {
    this.child.stdin?.write(`${isRunning ? '+' : '-'}${pid}\n`);
  }

  /** Closes the input, so that the helper kills the processes still running. */
  close(): void {
    this.child.stdin?.end();
  }
}

/**
 * Runs the helper process: reads process ids until the input closes, then kills
 * the processes still running.
 *
 * @param input - Lines `+ID` for a started process and `-ID` for an exited one.
 * @param kill - Kills a process.
 */
export async function runProcessReaper(
  input: AsyncIterable<string>,
  kill: (pid: number) => void,
): Promise<void> {
  const running = new Set<number>();
  for await (const line of input) {
    const pid = Number(line.slice(1));
    if (line.startsWith('+')) running.add(pid);
    else running.delete(pid);
  }
  for (const pid of running) kill(pid);
}
