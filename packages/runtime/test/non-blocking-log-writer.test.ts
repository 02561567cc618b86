import type {write} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import {NonBlockingLogWriter} from '../src/index.js';

type Callback = (error: NodeJS.ErrnoException | null, written: number) => void;

/** An output whose reader takes what the test lets it take. */
class SlowReader {
  taken = '';
  private pending: {bytes: Buffer; done: Callback} | undefined;

  /** Stands in for the write function of the file system. */
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

  /** Takes what is offered, or a part of it. */
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

  /** Takes everything. */
  takeAll(): void {
    while (this.pending !== undefined) this.take();
  }
}

/** An output whose clock the test moves. */
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

describe('BoundedOutput', () => {
  it('writes every line in order, also when the reader takes parts', () => {
    const {output, reader} = createWriter();
    for (let index = 0; index < 50; index += 1) output.write(`line ${index}`);
    reader.take(3);
    reader.takeAll();
    const expected = Array.from({length: 50}, (_, index) => `line ${index}\n`);
    expect(reader.taken).toEqual(expected.join(''));
  });

  it('keeps a bounded amount for a reader that takes nothing, and counts the rest', () => {
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

  it('lets urgent lines pass when routine ones have reached their ceiling', () => {
    const {output, reader, advance} = createWriter();
    for (let index = 0; index < 150; index += 1) output.write('routine', true);
    output.write('urgent', false);
    advance(1_000);
    output.write('routine', true);
    reader.takeAll();
    const lines = reader.taken.trim().split('\n');
    expect(lines.filter(line => line === 'routine').length).toEqual(101);
    expect(lines.includes('urgent')).toEqual(true);
  });

  it('has a ceiling for urgent lines as well', () => {
    const {output, reader} = createWriter();
    for (let index = 0; index < 1_000; index += 1) output.write('urgent');
    reader.takeAll();
    const lines = reader.taken.split('\n');
    expect(lines.filter(line => line === 'urgent').length).toEqual(300);
  });
});
