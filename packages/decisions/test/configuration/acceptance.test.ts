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
const IN_TIME = {nowMs: 10, random: 0.5};
const LATE = {nowMs: DEADLINE_MS, random: 0.5};

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

/** Events up to the moment at which the swap is under way. */
const SWAP_SENT = [read(0, EMPTY_HEAD), WRITTEN];

describe('advanceAcceptance', () => {
  describe('a swap without an answer', () => {
    const cases: {
      name: string;
      events: AcceptanceEvent[];
      lastInput: typeof LATE;
      expected: unknown;
    }[] = [
      {
        name: 'took effect',
        events: [...SWAP_SENT, LOST, RETRY, read(1, OWN_HEAD)],
        lastInput: IN_TIME,
        expected: {kind: 'accepted', revision: 1, version: 1},
      },
      {
        name: 'took effect before another change',
        events: [
          ...SWAP_SENT,
          LOST,
          RETRY,
          read(2, prepareWrite(OTHER, OWN_HEAD).head),
        ],
        lastInput: IN_TIME,
        expected: {kind: 'accepted', revision: 1, version: 1},
      },
      {
        name: 'may still take effect when time is up',
        events: [...SWAP_SENT, LOST, RETRY, read(0, EMPTY_HEAD)],
        lastInput: LATE,
        expected: {kind: 'unknown'},
      },
      {
        name: 'can no longer take effect when time is up',
        events: [...SWAP_SENT, LOST, RETRY, read(1, OTHER_HEAD)],
        lastInput: LATE,
        expected: {kind: 'not-accepted'},
      },
      {
        name: 'is followed by more changes than the head remembers',
        events: [
          ...SWAP_SENT,
          LOST,
          RETRY,
          read(90, {...OTHER_HEAD, revision: 90}),
        ],
        lastInput: IN_TIME,
        expected: {kind: 'unknown'},
      },
      {
        name: 'is refused when it is sent again, and time is up',
        events: [
          ...SWAP_SENT,
          LOST,
          RETRY,
          read(0, EMPTY_HEAD),
          REFUSED,
          RETRY,
          read(0, EMPTY_HEAD),
        ],
        lastInput: LATE,
        expected: {kind: 'unknown'},
      },
    ];
    for (const {name, events, lastInput, expected} of cases) {
      it(`${name}`, () => {
        expect(effectAfter(events, lastInput)).toEqual({
          type: 'finish',
          result: expected,
        } as never);
      });
    }

    it('is sent again unchanged while the head has not moved', () => {
      const first = effectAfter(SWAP_SENT, IN_TIME);
      const again = effectAfter(
        [...SWAP_SENT, LOST, RETRY, read(0, EMPTY_HEAD)],
        IN_TIME,
      );
      expect(again).toEqual(first);
    });
  });

  describe('a race', () => {
    it('of different resources is tried again on the new head', () => {
      const refusal = swapAnswer(false, 1, OTHER_HEAD);
      const effect = effectAfter([...SWAP_SENT, refusal, WRITTEN], IN_TIME);
      expect(effect).toEqual({
        type: 'swap-head',
        expectedStoreVersion: 1,
        head: OWN_AFTER_OTHER,
      });
    });

    it('of one resource ends with both versions', () => {
      const rival = prepareWrite({...PROPOSAL, writeId: 'rival'}, EMPTY_HEAD);
      const refusal = swapAnswer(false, 1, rival.head);
      expect(effectAfter([...SWAP_SENT, refusal], IN_TIME)).toEqual({
        type: 'finish',
        result: {kind: 'conflict', expected: 0, current: 1},
      });
    });
  });

  it('ends as not accepted when the store only refuses', () => {
    expect(effectAfter([...SWAP_SENT, REFUSED], LATE)).toEqual({
      type: 'finish',
      result: {kind: 'not-accepted'},
    });
  });

  it('reads again when the head is older than what the operator saw', () => {
    const proposal = {...PROPOSAL, expectedVersion: 7, writeId: 'later'};
    const step = advanceAcceptance(
      beginAcceptance(proposal, DEADLINE_MS).state,
      read(1, OWN_HEAD),
      IN_TIME,
    );
    expect(step.effect.type).toEqual('wait');
  });
});

/** Takes in all events; the last one with its own time. */
function effectAfter(
  events: readonly AcceptanceEvent[],
  lastInput: typeof LATE,
): AcceptanceStep['effect'] {
  let step = beginAcceptance(PROPOSAL, DEADLINE_MS);
  events.forEach((event, index) => {
    const input = index === events.length - 1 ? lastInput : IN_TIME;
    step = advanceAcceptance(step.state, event, input);
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
