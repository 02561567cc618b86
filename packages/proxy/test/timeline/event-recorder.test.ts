import {describe, it} from 'node:test';
import type {TimelineEvent} from '@sapphireglade/decisions';
import {findGaps, SapphiregladeError} from '@sapphireglade/decisions';
import {timelinePageSchema} from '@sapphireglade/protocol';
import {HybridLogicalClock} from '@sapphireglade/runtime';
import {expect} from 'earl';
import fc from 'fast-check';
import fastify from 'fastify';
import {
  estimateEventBytes,
  EventRecorder,
  EventRingBuffer,
  registerTimelineRoutes,
} from '../../src/index.js';

const RUNS = {seed: 7_002, numRuns: 300};

describe('EventRingBuffer', () => {
  it('matches a plain list that drops its oldest events', () => {
    const limits = fc.record({
      maximumEvents: fc.integer({min: 1, max: 8}),
      maximumBytes: fc.integer({min: 1, max: 3_000}),
    });
    const texts = fc.array(fc.string({maxLength: 400}), {maxLength: 40});
    fc.assert(
      fc.property(limits, texts, fc.nat(40), (limit, peers, after) => {
        const ring = new EventRingBuffer(limit);
        let expected: TimelineEvent[] = [];
        for (const peer of peers) {
          const event = eventOf(ring.next, peer);
          ring.push(event);
          expected = dropFront([...expected, event], limit);
        }
        expect(ring.after(0, Infinity)).toEqual(expected);
        expect(ring.bytes).toEqual(sumBytes(expected));
        expect(ring.oldest).toEqual(expected[0]?.sequence ?? 0);
        expect(ring.after(after, 3)).toEqual(
          expected.filter(event => event.sequence > after).slice(0, 3),
        );
      }),
      RUNS,
    );
  });
});

describe('EventRecorder', () => {
  it('keeps control events when requests overflow their own stream', () => {
    const recorder = createRecorder(10);
    recorder.record('link-opened', {peer: 'b'});
    for (let index = 0; index < 100; index += 1) recordRetry(recorder, 'r');
    expect(recorder.controlEventsSince(0).map(event => event.kind)).toEqual([
      'link-opened',
    ]);
  });

  it('shows dropped events as a gap', () => {
    const recorder = createRecorder(3);
    for (const peer of ['a', 'b', 'c', 'd', 'e']) {
      recorder.record('link-opened', {peer});
    }
    const gaps = findGaps(recorder.controlEventsSince(0));
    expect(gaps.map(gap => [gap.firstMissing, gap.lastMissing])).toEqual([
      [1, 2],
    ]);
  });
});

describe('GET /v1/timeline', () => {
  it('returns every event once across pages', async () => {
    const recorder = createRecorder(100);
    for (let index = 0; index < 7; index += 1) {
      recorder.record('link-opened', {peer: String(index)});
    }
    const sequences: number[] = [];
    let after = 0;
    let more = true;
    while (more) {
      const page = timelinePageSchema.parse(
        await get(recorder, `?after=${after}&limit=3`),
      );
      sequences.push(...page.events.map(event => event.sequence));
      after = page.next;
      more = page.more;
    }
    expect(sequences).toEqual([1, 2, 3, 4, 5, 6, 7]);
  });

  it('returns only the events of the given request', async () => {
    const recorder = createRecorder(100);
    for (const id of ['r-1', 'r-2', 'r-1']) recordRetry(recorder, id);
    const page = timelinePageSchema.parse(
      await get(recorder, '?stream=requests&request=r-1'),
    );
    expect(page.events.map(event => event.sequence)).toEqual([1, 3]);
  });

  for (const query of ['?after=-1', '?limit=0', '?stream=x', '?other=1']) {
    it(`refuses ${query}`, async () => {
      const failure = await get(createRecorder(1), query).catch(
        (error: unknown) => error,
      );
      expect(failure).toBeA(SapphiregladeError);
    });
  }
});

function createRecorder(maximumEvents: number): EventRecorder {
  const limits = {maximumEvents, maximumBytes: 1_000_000};
  return new EventRecorder('a', 'boot', new HybridLogicalClock(), 'z', {
    control: limits,
    requests: limits,
  });
}

function recordRetry(recorder: EventRecorder, requestId: string): void {
  recorder.record('request-retried', {requestId, group: 'g', reason: 'x'});
}

/** Sends a query to the route; rethrows an error of the handler. */
async function get(recorder: EventRecorder, query: string): Promise<unknown> {
  const app = fastify();
  let failure: unknown;
  app.setErrorHandler((error, _request, reply) => {
    failure = error;
    return reply.code(400).send({});
  });
  registerTimelineRoutes(app, recorder);
  const answer = await app.inject(`/v1/timeline${query}`);
  await app.close();
  if (failure !== undefined) throw failure as Error;
  return answer.json();
}

function eventOf(sequence: number, peer: string): TimelineEvent {
  return {
    process: 'a',
    boot: 'boot',
    sequence,
    at: {wallMs: sequence, counter: 0},
    kind: 'link-opened',
    fields: {peer},
  };
}

function dropFront(
  events: TimelineEvent[],
  limit: {maximumEvents: number; maximumBytes: number},
): TimelineEvent[] {
  const isOverLimit =
    events.length > limit.maximumEvents ||
    (sumBytes(events) > limit.maximumBytes && events.length > 1);
  return isOverLimit ? dropFront(events.slice(1), limit) : events;
}

function sumBytes(events: readonly TimelineEvent[]): number {
  return events.reduce((sum, event) => sum + estimateEventBytes(event), 0);
}
