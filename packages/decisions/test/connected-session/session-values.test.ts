import {describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import {MAXIMUM_SESSION_BYTES, SessionValues} from '../../src/index.js';

const OPTIONS = {seed: 20_263, numRuns: 200};

/** Longest value of one message, in characters; a message has at most 1 MiB. */
const LONGEST_VALUE = 'x'.repeat(1_048_500);

/** A change of a session. */
type Change = (values: SessionValues) => boolean;

/** Generates names, few enough to be repeated. */
const name = fc.constantFrom('a', 'bc', 'def');

/** Generates texts of up to two thirds of the limit. */
const text = fc
  .nat(Math.floor((MAXIMUM_SESSION_BYTES * 2) / 3))
  .map(length => 'x'.repeat(length));

/** Generates changes. */
const change: fc.Arbitrary<Change> = fc.oneof(
  fc.tuple(name, text).map(
    ([key, value]) =>
      (values: SessionValues) =>
        values.set(key, value),
  ),
  fc.tuple(name, text).map(
    ([key, shape]) =>
      (values: SessionValues) =>
        values.prepare(key, {kind: 'read', shape}),
  ),
  name.map(key => (values: SessionValues) => values.deallocate(key)),
);

/** Returns the bytes that a session holds under the names of the test. */
function sizeOf(values: SessionValues): number {
  let size = 0;
  for (const [key, value] of values.values) size += key.length + value.length;
  for (const key of ['a', 'bc', 'def']) {
    const statement = values.prepared(key);
    if (statement !== undefined) size += key.length + statement.shape.length;
  }
  return size;
}

describe('SessionValues', () => {
  describe('the size of a session', () => {
    it('allows several values of the longest message', () => {
      const values = new SessionValues();
      for (const key of ['a', 'b', 'c']) {
        expect(values.set(key, LONGEST_VALUE)).toEqual(true);
      }
    });

    it('refuses a value above the limit and keeps the earlier one', () => {
      const values = new SessionValues();
      values.set('a', 'green');
      values.set('b', 'x'.repeat(MAXIMUM_SESSION_BYTES - 7));
      expect(values.set('c', '')).toEqual(false);
      expect(values.set('a', 'yellow')).toEqual(false);
      expect(values.values.get('a')).toEqual('green');
      expect(values.set('a', 'blue')).toEqual(true);
    });

    it('counts the shapes of prepared statements', () => {
      const values = new SessionValues();
      const shape = 'x'.repeat(MAXIMUM_SESSION_BYTES - 1);
      expect(values.prepare('a', {kind: 'read', shape})).toEqual(true);
      expect(values.prepare('b', {kind: 'read', shape: 'y'})).toEqual(false);
      expect(values.prepared('b')).toEqual(undefined);
      expect(values.set('b', 'y')).toEqual(false);
    });

    it('is free again after a statement is deallocated', () => {
      const values = new SessionValues();
      const shape = 'x'.repeat(MAXIMUM_SESSION_BYTES - 1);
      values.prepare('a', {kind: 'read', shape});
      expect(values.deallocate('a')).toEqual(true);
      expect(values.set('b', shape)).toEqual(true);
    });

    it('is what is held, and never above the limit, after any changes', () => {
      fc.assert(
        fc.property(fc.array(change, {maxLength: 12}), changes => {
          const values = new SessionValues();
          for (const apply of changes) {
            apply(values);
            expect(sizeOf(values) <= MAXIMUM_SESSION_BYTES).toEqual(true);
          }
          const free = MAXIMUM_SESSION_BYTES - sizeOf(values);
          if (free === 0) return;
          expect(values.set('z', 'x'.repeat(free))).toEqual(false);
          expect(values.set('z', 'x'.repeat(free - 1))).toEqual(true);
        }),
        OPTIONS,
      );
    });
  });

  describe('the number of entries', () => {
    it('is bounded for values and statements together', () => {
      const values = new SessionValues();
      for (let index = 0; index < 999; index += 1) {
        expect(values.set(`name-${index}`, 'x')).toEqual(true);
      }
      const statement = {kind: 'read', shape: 'x'} as const;
      expect(values.prepare('a', statement)).toEqual(true);
      expect(values.prepare('b', statement)).toEqual(false);
      expect(values.set('b', 'x')).toEqual(false);
      expect(values.set('name-1', 'y')).toEqual(true);
    });
  });
});
