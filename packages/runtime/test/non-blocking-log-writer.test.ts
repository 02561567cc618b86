import type {write} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {LineClass, LoggerFactory} from '../src/index.js';
import {
  createLoggerFactory,
  LineKind,
  LogFormat,
  LogLevel,
  LogPart,
  NonBlockingLogWriter,
} from '../src/index.js';

const ROUTINE: LineClass = {isRoutine: true, kind: LineKind.Other};

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

/** Creates loggers whose lines a writer limits. */
function createLoggers(output: NonBlockingLogWriter): LoggerFactory {
  return createLoggerFactory({
    level: LogLevel.Information,
    format: LogFormat.Json,
    process: 'proxy-1',
    write: (line, lineClass) => output.write(line, lineClass),
  });
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
    const logFor = createLoggers(output);
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

  // Lines about changes of primary were missing in a record of lost commits.
  describe('the lines that tell how a primary was chosen', () => {
    const STEPS = [
      'The choice of the next primary was evaluated.',
      'A promotion was ordered.',
      'A primary was recorded.',
      'The instances that may have confirmed commits were recorded.',
    ];
    const REMOVED = 'An instance was removed after its grace period.';

    /** Logs the steps of one change of primary. */
    function logChange(logFor: LoggerFactory): void {
      for (const step of STEPS) logFor(LogPart.Failover).info(step);
      logFor(LogPart.Upstream).warn(REMOVED);
    }

    /** Returns the steps that were not written. */
    function missingSteps(written: string): string[] {
      return [...STEPS, REMOVED].filter(step => !written.includes(step));
    }

    it('are written during a flood of lines of other parts', () => {
      const {output, reader} = createWriter();
      const logFor = createLoggers(output);
      for (let index = 0; index < 400; index += 1)
        logFor(LogPart.Pool).warn('An instance cannot be reached.', {index});
      logChange(logFor);
      reader.takeAll();
      expect(missingSteps(reader.taken)).toEqual([]);
    });

    it('are written after many instances have registered at once', () => {
      const {output, reader} = createWriter();
      const logFor = createLoggers(output);
      for (let index = 0; index < 250; index += 1)
        logFor(LogPart.Upstream).info('An instance registered.', {index});
      logChange(logFor);
      reader.takeAll();
      expect(missingSteps(reader.taken)).toEqual([]);
    });

    it('are written although the reader is slow and lines on statements wait', () => {
      const {output, reader, advance} = createWriter();
      const logFor = createLoggers(output);
      for (let index = 0; index < 4_000; index += 1) {
        logFor(LogPart.Routing).warn('A request failed.', {index});
        advance(10);
      }
      logChange(logFor);
      reader.takeAll();
      expect(missingSteps(reader.taken)).toEqual([]);
    });

    it('are limited as well', () => {
      const {output, reader} = createWriter();
      const log = createLoggers(output)(LogPart.Failover);
      for (let index = 0; index < 1_000; index += 1)
        log.info('A promotion was ordered.', {index});
      reader.takeAll();
      const written = reader.taken.match(/A promotion was ordered/g)?.length;
      expect(written).toEqual(300);
    });
  });

  it('tells of which kind the dropped lines were', () => {
    const {output, reader} = createWriter();
    const logFor = createLoggers(output);
    for (let index = 0; index < 310; index += 1) {
      logFor(LogPart.Routing).warn('A request failed.', {index});
      logFor(LogPart.Store).warn('The store does not respond.', {index});
    }
    reader.takeAll();
    const notice = JSON.parse(
      reader.taken.trim().split('\n').at(-1)!,
    ) as Record<string, unknown>;
    expect(notice['count']).toEqual(20);
    expect(notice['statements']).toEqual(10);
    expect(notice['others']).toEqual(10);
    expect(notice['primaryChanges']).toEqual(undefined);
  });
});
