import type {write} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {LineClass} from '../src/index.js';
import {
  createLoggerFactory,
  LogFormat,
  LogLevel,
  LogPart,
  NonBlockingLogWriter,
} from '../src/index.js';

const ROUTINE: LineClass = {isRoutine: true, isPerStatement: false};

type Callback = (error: NodeJS.ErrnoException | null, written: number) => void;

/** A stand-in for the write function; the test controls how many bytes are accepted. */
class SlowReader {
  taken = '';
  private pending: {bytes: Buffer; done: Callback} | undefined;

  /** Replaces the write function of the file system. */
  readonly write = ((
    _descriptor: number,
    bytes: Buffer,
    _offset: number,
    _length: number,
    _position: null,
    done: Callback,
  ) => {
    this.pending = {bytes, done};
  }) as unknown as typeof write;

  /** Accepts the pending bytes, or at most a number of them. */
  take(most = Infinity): void {
    const {pending} = this;
    this.pending = undefined;
    if (pending === undefined) return;
    const part = pending.bytes.subarray(
      0,
      Math.min(most, pending.bytes.length),
    );
    this.taken += part.toString();
    pending.done(null, part.length);
  }

  /** Accepts all pending bytes. */
  takeAll(): void {
    while (this.pending !== undefined) this.take();
  }
}

/** Creates a writer whose clock the test advances. */
function createWriter(): {
  output: NonBlockingLogWriter;
  reader: SlowReader;
  advance: (milliseconds: number) => void;
} {
  const reader = new SlowReader();
  let nowMs = 0;
  const output = new NonBlockingLogWriter(1, reader.write, () => nowMs);
  const advance = (milliseconds: number): void => {
    nowMs += milliseconds;
  };
  return {output, reader, advance};
}

describe('NonBlockingLogWriter', () => {
  it('writes every line in order, also after partial writes', () => {
    const {output, reader} = createWriter();
    for (let index = 0; index < 50; index += 1) output.write(`line ${index}`);
    reader.take(3);
    reader.takeAll();
    const expected = Array.from({length: 50}, (_, index) => `line ${index}\n`);
    expect(reader.taken).toEqual(expected.join(''));
  });

  it('buffers a bounded amount while the reader accepts nothing, and counts the dropped lines', () => {
    const {output, reader, advance} = createWriter();
    const line = 'x'.repeat(1_000);
    for (let index = 0; index < 2_000; index += 1) {
      output.write(line);
      advance(10);
    }
    reader.takeAll();
    const lines = reader.taken.trim().split('\n');
    const written = lines.filter(each => each === line).length;
    expect(written <= 264).toEqual(true);
    const notice = JSON.parse(lines.at(-1)!) as {count: number};
    expect(written + notice.count).toEqual(2_000);
  });

  it('writes urgent lines after routine ones have reached their rate limit', () => {
    const {output, reader, advance} = createWriter();
    for (let index = 0; index < 150; index += 1)
      output.write('routine', ROUTINE);
    output.write('urgent');
    advance(1_000);
    output.write('routine', ROUTINE);
    reader.takeAll();
    const lines = reader.taken.trim().split('\n');
    expect(lines.filter(line => line === 'routine').length).toEqual(101);
    expect(lines.includes('urgent')).toEqual(true);
  });

  it('limits the rate of urgent lines as well', () => {
    const {output, reader} = createWriter();
    for (let index = 0; index < 1_000; index += 1) output.write('urgent');
    reader.takeAll();
    const lines = reader.taken.split('\n');
    expect(lines.filter(line => line === 'urgent').length).toEqual(300);
  });

  it('writes what is decided for a group during a flood of lines on statements', () => {
    const {output, reader} = createWriter();
    const logFor = createLoggerFactory({
      level: LogLevel.Information,
      format: LogFormat.Json,
      process: 'proxy-1',
      write: (line, lineClass) => output.write(line, lineClass),
    });
    const statements = logFor(LogPart.Routing);
    for (let index = 0; index < 400; index += 1) {
      statements.info('An instance did not serve a statement.');
      statements.warn('A request failed.');
    }
    logFor(LogPart.Failover).info('A promotion was ordered.');
    reader.takeAll();
    expect(reader.taken).toInclude('A promotion was ordered.');
    expect(reader.taken.match(/A request failed/g)?.length).toEqual(250);
  });
});
