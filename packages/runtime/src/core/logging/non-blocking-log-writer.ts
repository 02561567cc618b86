import {write} from 'node:fs';

/** Most bytes buffered for writing. */
const MAXIMUM_BUFFERED_BYTES = 262_144;

/** Part of the buffer that only lines with a reserve may use, in bytes. */
const RESERVED_BYTES = 65_536;

const RATE_WINDOW_MS = 1_000;

/** What a line is about; each kind has a budget of its own. */
export const LineKind = {
  /** A single statement. Such lines come in floods. */
  Statement: 'statements',
  /** A change of primary. */
  PrimaryChange: 'primaryChanges',
  /** An instance that registers or is removed. */
  Instance: 'instances',
  /** Anything else. */
  Other: 'others',
} as const;

/** What a line is about. */
export type LineKind = (typeof LineKind)[keyof typeof LineKind];

/** How a line counts against the limits. */
export interface LineClass {
  /** Whether the lower limit applies. */
  readonly isRoutine: boolean;
  /** What the line is about. */
  readonly kind: LineKind;
}

const URGENT_LINE: LineClass = {isRoutine: false, kind: LineKind.Other};

/** Limits of one kind of lines. */
interface LineLimits {
  /** Most routine lines per second. */
  readonly routine: number;
  /** Most lines per second. */
  readonly all: number;
  /** Whether the lines may use the reserved part of the buffer. */
  readonly hasReserve: boolean;
}

const LIMITS: Readonly<Record<LineKind, LineLimits>> = {
  [LineKind.Statement]: {routine: 100, all: 300, hasReserve: false},
  // Most steps of a change are routine lines, and many groups change at once.
  [LineKind.PrimaryChange]: {routine: 300, all: 300, hasReserve: true},
  [LineKind.Instance]: {routine: 100, all: 300, hasReserve: true},
  [LineKind.Other]: {routine: 100, all: 300, hasReserve: false},
};

/** Lines that may be written within one second. */
class LineBudget {
  private startMs = -Infinity;
  private lines = 0;

  constructor(private readonly limits: LineLimits) {}

  /** Counts a line; returns whether it exceeds the budget. */
  isExceeded(isRoutine: boolean, nowMs: number): boolean {
    if (nowMs - this.startMs >= RATE_WINDOW_MS) {
      this.startMs = nowMs;
      this.lines = 0;
    }
    const limit = isRoutine ? this.limits.routine : this.limits.all;
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
 * unbounded memory. Routine lines have a lower rate limit. Each kind of lines has
 * a budget of its own, and a part of the buffer is reserved for those that an
 * operator needs after a change of primary.
 */
export class NonBlockingLogWriter {
  private waiting: string[] = [];
  private bufferedBytes = 0;
  private isWriting = false;
  /** Dropped lines of each kind since the last notice. */
  private readonly dropped = new Map<LineKind, number>();
  private readonly budgets = new Map(
    Object.values(LineKind).map(kind => [kind, new LineBudget(LIMITS[kind])]),
  );

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
    const {kind} = lineClass;
    if (!this.hasRoom(line, kind) || this.exceedsBudget(lineClass)) {
      this.dropped.set(kind, (this.dropped.get(kind) ?? 0) + 1);
      return;
    }
    this.waiting.push(`${line}\n`);
    this.bufferedBytes += line.length;
    if (!this.isWriting) this.flush();
  }

  private hasRoom(line: string, kind: LineKind): boolean {
    const reserved = LIMITS[kind].hasReserve ? 0 : RESERVED_BYTES;
    const limit = MAXIMUM_BUFFERED_BYTES - reserved;
    return this.bufferedBytes + line.length <= limit;
  }

  private exceedsBudget({isRoutine, kind}: LineClass): boolean {
    return this.budgets.get(kind)?.isExceeded(isRoutine, this.now()) === true;
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
    if (this.dropped.size === 0) return text;
    const counts = [...this.dropped.values()];
    const notice = JSON.stringify({
      time: new Date().toISOString(),
      level: 'warn',
      part: 'log',
      message:
        'Log lines were dropped, because there were too many or the output was slow.',
      count: counts.reduce((sum, count) => sum + count),
      ...Object.fromEntries(this.dropped),
    });
    this.dropped.clear();
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
