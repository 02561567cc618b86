import {write} from 'node:fs';

/** Most bytes that wait to be written. */
const MAXIMUM_WAITING_BYTES = 262_144;

/**
 * Writes lines to a file descriptor without ever blocking the process.
 *
 * What a slow reader does not take is left out and counted, so that logs never
 * delay a request and never grow the memory.
 */
export class BoundedOutput {
  private waiting: string[] = [];
  private waitingBytes = 0;
  private isWriting = false;
  private leftOut = 0;

  /**
   * @param descriptor - The file descriptor.
   * @param writeBytes - Writes to it; another one for tests.
   */
  constructor(
    private readonly descriptor: number,
    private readonly writeBytes: typeof write = write,
  ) {}

  /** Writes a line as soon as the reader takes it, or counts it as left out. */
  write(line: string): void {
    if (this.waitingBytes + line.length > MAXIMUM_WAITING_BYTES) {
      this.leftOut += 1;
      return;
    }
    this.waiting.push(`${line}\n`);
    this.waitingBytes += line.length;
    if (!this.isWriting) this.flush();
  }

  private flush(): void {
    if (this.waiting.length === 0) return;
    this.isWriting = true;
    const text = this.takeWaiting();
    this.writeAll(Buffer.from(text, 'utf8'));
  }

  private takeWaiting(): string {
    const text = this.waiting.join('');
    this.waiting = [];
    this.waitingBytes = 0;
    if (this.leftOut === 0) return text;
    const notice = JSON.stringify({
      level: 'warn',
      part: 'log',
      message: 'Lines were left out, because the output is slow.',
      count: this.leftOut,
    });
    this.leftOut = 0;
    return `${text}${notice}\n`;
  }

  private writeAll(bytes: Buffer): void {
    this.writeBytes(
      this.descriptor,
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
        // An output that is gone cannot even be complained about.
        this.isWriting = false;
        this.flush();
      },
    );
  }
}
