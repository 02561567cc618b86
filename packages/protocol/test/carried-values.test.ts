import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {Row} from '../src/index.js';
import {
  callerStatementRequestSchema,
  encodeFrame,
  FrameReader,
  statementResponseSchema,
} from '../src/index.js';

const OPTIONS = {seed: 20_265, numRuns: 300};

/** Any text that a JSON body may hold, as escapes allow each code unit. */
const TEXT = fc
  .array(
    fc.oneof(
      fc.integer({min: 0x20, max: 0x7e}),
      fc.integer({min: 0, max: 0xffff}),
      fc.integer({min: 0xd800, max: 0xdfff}),
    ),
    {minLength: 1, maxLength: 200},
  )
  .map(units => String.fromCharCode(...units));

/** Sends a body over a link and returns what the peer reads. */
function carry(body: unknown): unknown {
  const clock = {wallMs: 1, counter: 0};
  const bytes = encodeFrame({kind: 'notice', clock, body});
  const [frame] = [...new FrameReader().push(bytes)];
  return (frame as {body?: unknown}).body;
}

/** Decodes a caller's statement; undefined if it is refused. */
function decodeStatement(
  body: string,
): {sql: string; parameters: unknown[]} | undefined {
  const parsed = callerStatementRequestSchema.safeParse(JSON.parse(body));
  return parsed.success ? parsed.data : undefined;
}

function bodyOf(sql: string, parameters: string): string {
  return `{"group":"g","access":"write","sql":${JSON.stringify(sql)},"parameters":${parameters}}`;
}

describe('what a caller sends as JSON and a proxy forwards over a link', () => {
  it('keeps its SQL and its texts, or is refused', () => {
    fc.assert(
      fc.property(TEXT, TEXT, (sql, text) => {
        const parameters = [text];
        const request = decodeStatement(
          bodyOf(sql, JSON.stringify(parameters)),
        );
        if (request === undefined) return;
        expect(carry({sql, parameters: request.parameters})).toEqual({
          sql,
          parameters,
        });
      }),
      OPTIONS,
    );
  });

  it('keeps texts apart that differ', () => {
    const texts = ['\ud800', '\ud801'].map(text => text.padEnd(80, 'x'));
    const accepted = texts.filter(
      text => decodeStatement(bodyOf(text, '[]')) !== undefined,
    );
    expect(new Set(accepted.map(carry)).size).toEqual(accepted.length);
  });

  it('keeps its whole numbers, or is refused', () => {
    const numbers = fc
      .bigInt({min: -(2n ** 63n), max: 2n ** 63n - 1n})
      .map(String);
    fc.assert(
      fc.property(numbers, number => {
        const request = decodeStatement(bodyOf('INSERT', `[${number}]`));
        if (request === undefined) return;
        const carried = carry(request.parameters) as [number];
        expect(BigInt(carried[0]).toString()).toEqual(number);
      }),
      OPTIONS,
    );
  });
});

describe('rows that an owner sends over a link', () => {
  for (const column of ['id', 'constructor', '__proto__', 'toString']) {
    it(`keep a column named ${column}`, () => {
      const rows = `[{${JSON.stringify(column)}:"value"}]`;
      const response = statementResponseSchema.safeParse(
        JSON.parse(
          `{"rows":${rows},"rowCount":1,"position":{"term":1,"position":1},"waitedMs":0}`,
        ),
      );
      const row = (JSON.parse(rows) as Row[])[0]!;
      expect(response.data?.rows).toEqual([row]);
      expect(Object.keys(carry(row) as object)).toEqual([column]);
      expect(Object.entries(carry([row]) as Row[])).toEqual([['0', row]]);
    });
  }
});
