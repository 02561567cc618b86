import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {PreparedStatement} from '../../src/index.js';
import {
  planSynchronization,
  PreparedStatementKind,
  SessionValues,
  countSynchronizationMessages,
  upstreamStatementName,
} from '../../src/index.js';

/** Model of a connection that applies synchronization plans. */
class ModelConnection {
  readonly values = new Map<string, string>();
  readonly prepared = new Set<string>();

  /** Applies a plan. */
  apply(
    plan: ReturnType<typeof planSynchronization>,
    name: string | undefined,
  ): void {
    if (plan.clear) {
      this.values.clear();
      this.prepared.clear();
    }
    for (const [key, value] of plan.values) this.values.set(key, value);
    if (plan.prepare && name !== undefined) this.prepared.add(name);
  }
}

const NAME = fc.constantFrom('a', 'b', 'c', 'd');
const VALUES = fc.dictionary(NAME, fc.constantFrom('1', '2', '3'));
const STATEMENT = fc.option(
  fc.record({
    kind: fc.constantFrom(
      PreparedStatementKind.Read,
      PreparedStatementKind.Write,
    ),
    shape: fc.constantFrom('q1', 'q2', 'q3', 'q1 FETCH q2', 'read_q1', ' '),
  }),
  {nil: undefined},
);

describe('planSynchronization', () => {
  it('lets one connection serve many sessions without mixing their state', () => {
    const sessionsArbitrary = fc.array(fc.tuple(VALUES, STATEMENT), {
      maxLength: 30,
    });
    fc.assert(
      fc.property(sessionsArbitrary, sessions => {
        const connection = new ModelConnection();
        for (const [dictionary, statement] of sessions) {
          const values = new Map(Object.entries(dictionary));
          const name = statement && upstreamStatementName(statement);
          const plan = planSynchronization(connection, values, name);
          connection.apply(plan, name);
          expect(connection.values).toEqual(values);
          if (name !== undefined) {
            expect(connection.prepared.has(name)).toEqual(true);
          }
          const repeatedPlan = planSynchronization(connection, values, name);
          expect(countSynchronizationMessages(repeatedPlan)).toEqual(0);
        }
      }),
      {seed: 11, numRuns: 500},
    );
  });

  it('gives different statements different names', () => {
    const read: PreparedStatement = {
      kind: PreparedStatementKind.Read,
      shape: 'q',
    };
    const write: PreparedStatement = {
      kind: PreparedStatementKind.Write,
      shape: 'q',
    };
    expect(
      upstreamStatementName(read) === upstreamStatementName(write),
    ).toEqual(false);
  });
});

describe('upstreamStatementName', () => {
  const SHAPE = fc.oneof(
    fc.string(),
    fc
      .array(fc.constantFrom('q1', 'FETCH', 'STORE', ' ', 'read', 'write', '_'))
      .map(parts => parts.join('')),
  );
  const PREPARED = fc.record({
    kind: fc.constantFrom(...Object.values(PreparedStatementKind)),
    shape: SHAPE,
  });

  it('is one field of a message, whatever the shape holds', () => {
    fc.assert(
      fc.property(PREPARED, statement => {
        const name = upstreamStatementName(statement);
        expect(/^[A-Za-z0-9_-]{22}$/.test(name)).toEqual(true);
      }),
      {seed: 47, numRuns: 1_000},
    );
  });

  it('is the same for equal statements and differs for all others', () => {
    fc.assert(
      fc.property(PREPARED, PREPARED, (left, right) => {
        const isSameStatement =
          left.kind === right.kind && left.shape === right.shape;
        const isSameName =
          upstreamStatementName(left) === upstreamStatementName({...right});
        expect(isSameName).toEqual(isSameStatement);
      }),
      {seed: 48, numRuns: 1_000},
    );
  });
});

describe('SessionValues', () => {
  it('keeps a bounded number of values and names', () => {
    const session = new SessionValues();
    for (let index = 0; index < 1_000; index += 1) {
      expect(session.set(`value-${index}`, '')).toEqual(true);
    }
    expect(session.set('one more', '')).toEqual(false);
    expect(session.set('value-7', 'changed')).toEqual(true);
    expect(
      session.prepare('s', {kind: PreparedStatementKind.Read, shape: 'q'}),
    ).toEqual(false);
  });

  it('removes a name once', () => {
    const session = new SessionValues();
    session.prepare('s', {kind: PreparedStatementKind.Read, shape: 'q'});
    expect(session.deallocate('s')).toEqual(true);
    expect(session.deallocate('s')).toEqual(false);
    expect(session.prepared('s')).toEqual(undefined);
  });
});
