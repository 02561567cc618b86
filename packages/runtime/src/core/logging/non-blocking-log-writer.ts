import {write} from 'node:fs';

/** Most bytes buffered for writing. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Most routine lines of one budget per second. */
const MAXIMUM_ROUTINE_LINES_PER_SECOND = 100;

/** Most lines of any kind of one budget per second. */
const MAXIMUM_LINES_PER_SECOND = 300;

const RATE_WINDOW_MS = 1_000;

/** How a line counts against the limits. */
export interface LineClass {
  /** Whether the lower limit applies. */
  readonly isRoutine: boolean;
  /**
   * Whether the line concerns a single statement. Such lines have a budget of
   * their own, because they are the ones that come in floods.
   */
  readonly isPerStatement: boolean;
}

const URGENT_LINE: LineClass = {isRoutine: false, isPerStatement: false};

/** Lines that may be written within one second. */
class LineBudget {
  private startMs = -Infinity;
  private lines = 0;

  /** Counts a line; returns whether it exceeds the budget. */
  isExceeded(isRoutine: boolean, nowMs: number): boolean {
    if (nowMs - this.startMs >= RATE_WINDOW_MS) {
      this.startMs = nowMs;
      this.lines = 0;
    }
    const limit = isRoutine
      ? MAXIMUM_ROUTINE_LINES_PER_SECOND
      : MAXIMUM_LINES_PER_SECOND;
    if (this.lines >= limit) return true;
    this.lines += 1;
    return false;
  }
}

/**
 * Writes lines to a file descriptor without ever blocking the process.
 *
 * Lines that a slow reader does not accept, or that exceed the rate limit, are
 * dropped and counted, so that logging never delays a request and never uses
 * unbounded memory. Routine lines have a lower rate limit. Lines on single
 * statements have a budget that is separate from that of all others.
 */
export class NonBlockingLogWriter {
  private waiting: string[] = [];
  private bufferedBytes = 0;
  private isWriting = false;
  private droppedLines = 0;
  private readonly statementBudget = new LineBudget();
  private readonly otherBudget = new LineBudget();

  /**
   * @param fileDescriptor - The file descriptor.
   * @param writeBytes - Writes to the file descriptor; replaced in tests.
   * @param now - Returns the monotonic time, in milliseconds.
   */
  constructor(
    private readonly fileDescriptor: number,
    private readonly writeBytes: typeof write = write,
    private readonly now: () => number = () => performance.now(),
  ) {}

  /**
   * Writes a line as soon as the output accepts it, or drops and counts it.
   *
   * @param line - The line.
   * @param lineClass - How the line counts against the limits.
   */
  write(line: string, lineClass: LineClass = URGENT_LINE): void {
    const hasRoom = this.bufferedBytes + line.length <= MAXIMUM_BUFFERED_BYTES;
    if (!hasRoom || this.exceedsBudget(lineClass)) {
      this.droppedLines += 1;
      return;
    }
    this.waiting.push(`${line}\n`);
    this.bufferedBytes += line.length;
    if (!this.isWriting) this.flush();
  }

  private exceedsBudget({isRoutine, isPerStatement}: LineClass): boolean {
    const budget = isPerStatement ? this.statementBudget : this.otherBudget;
    return budget.isExceeded(isRoutine, this.now());
  }

  private flush(): void {
    if (this.waiting.length === 0) return;
    this.isWriting = true;
    const text = this.drainBuffer();
    this.writeAll(Buffer.from(text, 'utf8'));
  }

  private drainBuffer(): string {
    const text = this.waiting.join('');
    this.waiting = [];
    this.bufferedBytes = 0;
    if (this.droppedLines === 0) return text;
    const notice = JSON.stringify({
      level: 'warn',
      part: 'log',
      message:
        'Log lines were dropped, because there were too many or the output was slow.',
      count: this.droppedLines,
    });
    this.droppedLines = 0;
    return `${text}${notice}\n`;
  }

  private writeAll(bytes: Buffer): void {
    this.writeBytes(
      this.fileDescriptor,
      bytes,
      0,
      bytes.length,
      null,
      (error, written) => {
        if (error?.code === 'EAGAIN') {
          setTimeout(() => this.writeAll(bytes), 10);
          return;
        }
        const isPartial = error === null && written < bytes.length;
        if (isPartial) {
          this.writeAll(bytes.subarray(written));
          return;
        }
        // Other write errors are ignored: no output is left to report them to.
        this.isWriting = false;
        this.flush();
      },
    );
  }
}
