import type {ChildProcess} from 'node:child_process';
import {spawn} from 'node:child_process';
import {STAND_INS_PROGRAM_PATH} from './program-paths.js';

/**
 * Ends the processes of a fleet whatever happens to the launcher: a small
 * process that is told every id and, when its input closes, ends those that
 * still run.
 */
export class ProcessReaper {
  private readonly child: ChildProcess;

  /** Starts the guard. */
  constructor() {
    this.child = spawn(process.execPath, [STAND_INS_PROGRAM_PATH, 'guard'], {
      stdio: ['pipe', 'ignore', 'ignore'],
      detached: true,
    });
    this.child.unref();
    this.child.stdin?.on('error', () => undefined);
  }

  /** Tells that a process began or ended. */
  report(pid: number, isRunning: boolean): void {
    this.child.stdin?.write(`${isRunning ? '+' : '-'}${pid}\n`);
  }

  /** Ends the guard, which ends the processes that still run. */
  close(): void {
    this.child.stdin?.end();
  }
}

/**
 * Runs the guard: reads ids until the input closes.
 *
 * @param input - Lines `+ID` for a process that began and `-ID` for an end.
 * @param kill - Ends a process.
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
