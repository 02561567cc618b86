import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {LogPosition, SessionState} from '../../src/index.js';
import {
  comparePositions,
  decodeSessionToken,
  EMPTY_POSITION,
  EMPTY_SESSION,
  encodeSessionToken,
  ErrorKind,
  MAXIMUM_SESSION_GROUPS,
  MAXIMUM_TOKEN_LENGTH,
  mergeSessions,
  recordSeenPosition,
  findSeenPosition,
  requiresLatest,
  SapphiregladeError,
} from '../../src/index.js';

const SECRETS = ['a-secret-that-all-proxies-share'];
const RUNS = {seed: 51, numRuns: 100};
/** More groups than a session can list, so that groups are dropped. */
const GROUPS = Array.from(
  {length: MAXIMUM_SESSION_GROUPS + 8},
  (_, index) => `group-${index}`,
);

describe('session tokens', () => {
  it('decode to the session that was encoded', () => {
    const session = recordSeenPosition(
      {revision: 7, positions: {constructor: at(1, 4)}, isFolded: true},
      'ledger-1',
      at(3, 120),
    );
    const token = encodeSessionToken(session, SECRETS);
    expect(decodeSessionToken(token, SECRETS)).toEqual(session);
  });

  it('stay within the length limit with the longest names and highest positions', () => {
    let session = EMPTY_SESSION;
    for (let index = 0; index < MAXIMUM_SESSION_GROUPS; index += 1) {
      const name = `${'n'.repeat(60)}${100 + index}`;
      session = recordSeenPosition(session, name, at(2 ** 31, 2 ** 52));
    }
    const token = encodeSessionToken(session, SECRETS);
    expect(token.length).toBeLessThanOrEqual(MAXIMUM_TOKEN_LENGTH);
    expect(decodeSessionToken(token, SECRETS)).toEqual(session);
  });

  it('are accepted if any of the shared secrets signed them', () => {
    const token = encodeSessionToken(EMPTY_SESSION, ['old']);
    expect(decodeSessionToken(token, ['new', 'old'])).toEqual(EMPTY_SESSION);
  });

  describe('that this fleet did not issue', () => {
    const valid = encodeSessionToken(
      recordSeenPosition(EMPTY_SESSION, 'ledger-1', at(1, 9)),
      SECRETS,
    );
    const [, payload = '', code = ''] = valid.split('.');
    const higher = encodeSessionToken(
      recordSeenPosition(EMPTY_SESSION, 'ledger-1', at(1, 10)),
      ['another fleet'],
    );
    const cases: Array<[name: string, token: string, reason: string]> = [
      ['is empty', '', 'its version is unknown'],
      [
        'has another version',
        `v2.${payload}.${code}`,
        'its version is unknown',
      ],
      ['lacks a part', `v1.${payload}`, 'it does not have three parts'],
      ['has a part too many', `${valid}.a`, 'it does not have three parts'],
      ['has an empty code', `v1.${payload}.`, 'this fleet did not sign it'],
      [
        'has a changed payload',
        `v1.${payload}A.${code}`,
        'this fleet did not sign it',
      ],
      ['has a short code', valid.slice(0, -3), 'this fleet did not sign it'],
      ['comes from another fleet', higher, 'this fleet did not sign it'],
      ['is too long', 'v'.repeat(MAXIMUM_TOKEN_LENGTH + 1), 'it is too long'],
    ];
    for (const [name, token, reason] of cases) {
      it(`are refused: one that ${name}`, () => {
        const error = failureOf(() => decodeSessionToken(token, SECRETS));
        expect(error.kind).toEqual(ErrorKind.InvalidSessionToken);
        expect(error.definition.status).toEqual(400);
        expect(error.message).toEqual(
          `The session token was refused: ${reason}.`,
        );
      });
    }
  });
});

describe('sessions', () => {
  it('require at least the positions of an unbounded map, whatever was dropped', () => {
    fc.assert(
      fc.property(
        fc.array(stepArbitrary(), {minLength: 200, maxLength: 400}),
        steps => {
          const copies = [newCopy(), newCopy()];
          for (const step of steps) apply(copies, step);
          for (const copy of copies) expectSound(copy);
        },
      ),
      RUNS,
    );
  });

  it('merge to the same positions in either order', () => {
    const left = recordSeenPosition(EMPTY_SESSION, 'a', at(2, 1));
    const right = recordSeenPosition(
      recordSeenPosition({revision: 3, positions: {}}, 'a', at(1, 9)),
      'b',
      at(1, 1),
    );
    const expected = {revision: 3, positions: {a: at(2, 1), b: at(1, 1)}};
    expect(mergeSessions(left, right)).toEqual(expected);
    expect(mergeSessions(right, left)).toEqual(expected);
  });
});

/** A session and its reference: a map that never drops a group. */
interface Copy {
  session: SessionState;
  readonly reference: Map<string, LogPosition>;
}

interface Step {
  readonly copy: number;
  readonly group: number;
  readonly position: number;
  readonly isMerge: boolean;
}

function stepArbitrary(): fc.Arbitrary<Step> {
  return fc.record({
    copy: fc.nat({max: 1}),
    group: fc.nat({max: GROUPS.length - 1}),
    position: fc.integer({min: 1, max: 50}),
    isMerge: fc.integer({min: 0, max: 19}).map(value => value === 0),
  });
}

function newCopy(): Copy {
  return {session: EMPTY_SESSION, reference: new Map()};
}

/** Records a position, or merges the other copy. */
function apply(copies: readonly Copy[], step: Step): void {
  const copy = copies[step.copy]!;
  const other = copies[1 - step.copy]!;
  if (step.isMerge) {
    copy.session = mergeSessions(copy.session, other.session);
    for (const [group, seen] of other.reference)
      raise(copy.reference, group, seen);
    return;
  }
  const group = GROUPS[step.group]!;
  const isLatest = requiresLatest(copy.session, group);
  const current = copy.reference.get(group)?.position ?? 0;
  const position = isLatest ? Math.max(current, step.position) : step.position;
  copy.session = recordSeenPosition(copy.session, group, at(1, position));
  raise(copy.reference, group, at(1, position));
}

function raise(
  reference: Map<string, LogPosition>,
  group: string,
  seen: LogPosition,
): void {
  const current = reference.get(group) ?? EMPTY_POSITION;
  if (comparePositions(seen, current) > 0) reference.set(group, seen);
}

function expectSound({session, reference}: Copy): void {
  const listed = Object.keys(session.positions).length;
  expect(listed).toBeLessThanOrEqual(MAXIMUM_SESSION_GROUPS);
  for (const [group, seen] of reference) {
    if (requiresLatest(session, group)) continue;
    expect(findSeenPosition(session, group)).toEqual(seen);
  }
}

function at(term: number, position: number): LogPosition {
  return {term, position};
}

function failureOf(action: () => unknown): SapphiregladeError {
  try {
    action();
  } catch (error) {
    if (error instanceof SapphiregladeError) return error;
    throw error;
  }
  throw new Error('No error was thrown.');
}
