import {describe, it} from 'node:test';
import {expect} from 'earl';
import type {
  AcceptanceEvent,
  AcceptanceStep,
  ChangeProposal,
  ConfigurationHead,
} from '../../src/index.js';
import {
  advanceAcceptance,
  beginAcceptance,
  EMPTY_HEAD,
  prepareWrite,
} from '../../src/index.js';

const DEADLINE_MS = 1_000;
const BEFORE_DEADLINE = {nowMs: 10, random: 0.5};
const PAST_DEADLINE = {nowMs: DEADLINE_MS, random: 0.5};

const PROPOSAL: ChangeProposal = {
  key: 'promotion/ledger',
  expectedVersion: 0,
  resource: {kind: 'promotion', name: 'ledger', target: 'one'},
  change: {by: 'amina', at: '2026-01-01T00:00:00.000Z', reason: ''},
  writeId: 'mine',
};
const OTHER: ChangeProposal = {...PROPOSAL, key: 'promotion/x', writeId: 'o'};
const OWN_HEAD = prepareWrite(PROPOSAL, EMPTY_HEAD).head;
const OTHER_HEAD = prepareWrite(OTHER, EMPTY_HEAD).head;
const OWN_AFTER_OTHER = prepareWrite(PROPOSAL, OTHER_HEAD).head;
const LOST = {type: 'store-failed', mayHaveTakenEffect: true} as const;
const REFUSED = {type: 'store-failed', mayHaveTakenEffect: false} as const;
const RETRY = {type: 'retry-due'} as const;
const WRITTEN = {type: 'body-written'} as const;

/** Events until the swap has been sent. */
const SWAP_SENT = [read(0, EMPTY_HEAD), WRITTEN];

describe('advanceAcceptance', () => {
  describe('a swap whose answer is lost', () => {
    const cases: {
      name: string;
      events: AcceptanceEvent[];
      lastContext: typeof PAST_DEADLINE;
      expected: unknown;
    }[] = [
      {
        name: 'is accepted if it took effect',
        events: [...SWAP_SENT, LOST, RETRY, read(1, OWN_HEAD)],
        lastContext: BEFORE_DEADLINE,
        expected: {kind: 'accepted', revision: 1, version: 1},
      },
      {
        name: 'is accepted if it took effect before another change',
        events: [
          ...SWAP_SENT,
          LOST,
          RETRY,
          read(2, prepareWrite(OTHER, OWN_HEAD).head),
        ],
        lastContext: BEFORE_DEADLINE,
        expected: {kind: 'accepted', revision: 1, version: 1},
      },
      {
        name: 'ends as unknown if it may still take effect at the deadline',
        events: [...SWAP_SENT, LOST, RETRY, read(0, EMPTY_HEAD)],
        lastContext: PAST_DEADLINE,
        expected: {kind: 'unknown'},
      },
      {
        name: 'ends as not accepted if it can no longer take effect at the deadline',
        events: [...SWAP_SENT, LOST, RETRY, read(1, OTHER_HEAD)],
        lastContext: PAST_DEADLINE,
        expected: {kind: 'not-accepted'},
      },
      {
        name: 'ends as unknown if more changes follow than the head lists',
        events: [
          ...SWAP_SENT,
          LOST,
          RETRY,
          read(90, {...OTHER_HEAD, revision: 90}),
        ],
        lastContext: BEFORE_DEADLINE,
        expected: {kind: 'unknown'},
      },
      {
        name: 'ends as unknown if the retry is refused at the deadline',
        events: [
          ...SWAP_SENT,
          LOST,
          RETRY,
          read(0, EMPTY_HEAD),
          REFUSED,
          RETRY,
          read(0, EMPTY_HEAD),
        ],
        lastContext: PAST_DEADLINE,
        expected: {kind: 'unknown'},
      },
    ];
    for (const {name, events, lastContext, expected} of cases) {
      it(`${name}`, () => {
        expect(effectAfter(events, lastContext)).toEqual({
          type: 'finish',
          result: expected,
        } as never);
      });
    }

    it('is sent again unchanged while the head is unchanged', () => {
      const firstEffect = effectAfter(SWAP_SENT, BEFORE_DEADLINE);
      const retryEffect = effectAfter(
        [...SWAP_SENT, LOST, RETRY, read(0, EMPTY_HEAD)],
        BEFORE_DEADLINE,
      );
      expect(retryEffect).toEqual(firstEffect);
    });
  });

  describe('a concurrent change', () => {
    it('of another resource is followed by a retry on the new head', () => {
      const refusal = swapAnswer(false, 1, OTHER_HEAD);
      const effect = effectAfter(
        [...SWAP_SENT, refusal, WRITTEN],
        BEFORE_DEADLINE,
      );
      expect(effect).toEqual({
        type: 'swap-head',
        expectedStoreVersion: 1,
        head: OWN_AFTER_OTHER,
      });
    });

    it('of the same resource ends in a conflict with both versions', () => {
      const rival = prepareWrite({...PROPOSAL, writeId: 'rival'}, EMPTY_HEAD);
      const refusal = swapAnswer(false, 1, rival.head);
      expect(effectAfter([...SWAP_SENT, refusal], BEFORE_DEADLINE)).toEqual({
        type: 'finish',
        result: {kind: 'conflict', expected: 0, current: 1},
      });
    });
  });

  it('ends as not accepted when the store refuses every call', () => {
    expect(effectAfter([...SWAP_SENT, REFUSED], PAST_DEADLINE)).toEqual({
      type: 'finish',
      result: {kind: 'not-accepted'},
    });
  });

  it('reads again when the head is older than the version read by the operator', () => {
    const proposal = {...PROPOSAL, expectedVersion: 7, writeId: 'later'};
    const step = advanceAcceptance(
      beginAcceptance(proposal, DEADLINE_MS).state,
      read(1, OWN_HEAD),
      BEFORE_DEADLINE,
    );
    expect(step.effect.type).toEqual('wait');
  });
});

/** Applies all events, the last one with its own context, and returns the effect. */
function effectAfter(
  events: readonly AcceptanceEvent[],
  lastContext: typeof PAST_DEADLINE,
): AcceptanceStep['effect'] {
  let step = beginAcceptance(PROPOSAL, DEADLINE_MS);
  events.forEach((event, index) => {
    const context = index === events.length - 1 ? lastContext : BEFORE_DEADLINE;
    step = advanceAcceptance(step.state, event, context);
  });
  return step.effect;
}

function read(storeVersion: number, head: ConfigurationHead): AcceptanceEvent {
  return {type: 'head-read', stored: {storeVersion, head}};
}

function swapAnswer(
  swapped: boolean,
  storeVersion: number,
  head: ConfigurationHead,
): AcceptanceEvent {
  return {type: 'swap-answered', swapped, stored: {storeVersion, head}};
}
