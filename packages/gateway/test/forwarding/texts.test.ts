import {describe, it} from 'node:test';
import {encodeFrame, FrameReader} from '@sapphireglade/protocol';
import {expect} from 'earl';
import fc from 'fast-check';
import {
  decodeExecution,
  decodeResponse,
  encodeExecution,
  encodeReply,
  forwardedSchema,
} from '../../src/core/forwarding/messages.js';
import {REPLY, requestOf} from '../support/linked-proxy.js';

const OPTIONS = {seed: 20_266, numRuns: 500};

/** Generates texts of callers: one byte a character, blanks, keywords and names of members of every object. */
const text = fc
  .array(
    fc.oneof(
      fc.constantFrom(' ', '', '-', 'FETCH', 'STORE q2', '__proto__', '"'),
      fc.constantFrom('constructor', '/', '?', '#', '%20', '\u0080', 'ÿ'),
      fc.string({unit: fc.nat(255).map(code => String.fromCharCode(code))}),
    ),
    {maxLength: 4},
  )
  .map(parts => parts.join(''));

/** Sends a body over a link; returns what arrives. */
function send(body: unknown): unknown {
  const clock = {wallMs: 1, counter: 0};
  const [frame] = new FrameReader().push(
    encodeFrame({kind: 'notice', clock, body}),
  );
  return (frame as {body: unknown}).body;
}

describe('texts that cross a link', () => {
  it('of a request arrive as the caller sent them', () => {
    fc.assert(
      fc.property(
        fc.record({
          requestId: text,
          statement: fc.option(text, {nil: undefined}),
          parameters: text,
          shape: text,
          database: text,
          group: text,
        }),
        fc.array(fc.tuple(text, text), {maxLength: 5}),
        ({requestId, statement, parameters, shape, database, group}, pairs) => {
          const request = requestOf(requestId, false);
          for (const [name, value] of pairs) request.values.set(name, value);
          const sent = {
            ...request,
            route: {...request.route, database, group},
            statement: {
              ...request.statement,
              text: statement,
              parameters,
              prepared: {kind: 'write', shape} as const,
            },
          };
          const message = send({
            kind: 'statement',
            execution: encodeExecution(sent),
          });
          const parsed = forwardedSchema.parse(message);
          if (parsed.kind !== 'statement') throw new Error('Another kind.');
          const received = decodeExecution(parsed.execution, 0);
          expect(received.statement).toEqual(sent.statement);
          expect(received.route).toEqual(sent.route);
          expect([...received.values.values]).toEqual([...sent.values.values]);
        },
      ),
      OPTIONS,
    );
  });

  it('of a reply arrive as the instance sent them', () => {
    fc.assert(
      fc.property(fc.array(text), text, text, (rows, signature, zone) => {
        const reply = {...REPLY, rows, signature};
        const response = decodeResponse(send(encodeReply(reply, zone)));
        expect(response).toEqual({reply, primaryZone: zone});
      }),
      OPTIONS,
    );
  });
});
