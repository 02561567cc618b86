import type {LogPosition} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import fc from 'fast-check';
import type {CoordinationStore} from '../../src/index.js';
import {
  PrimaryReleases,
  RELEASE_PREFIX,
  releaseValue,
} from '../../src/index.js';

const OPTIONS = {seed: 50_071, numRuns: 500};
const GROUP = 'ledger';
const PROXY = 'proxy-2';
const KNOWN = {revision: 7, generation: 3};
const LEAST: LogPosition = {term: 2, position: 40};

/** Number of parts that proxies of an earlier version read. */
const EARLIER_PARTS = 3;

const position = fc
  .tuple(fc.maxSafeNat(), fc.maxSafeNat())
  .map(([term, number]) => ({term, position: number}));

describe('the value of a release', () => {
  let releases: PrimaryReleases;

  beforeEach(() => {
    releases = new PrimaryReleases(
      'reader',
      undefined as unknown as CoordinationStore,
      () => undefined,
      createSilentLogger(),
    );
  });

  function read(value: string): void {
    const key = `${RELEASE_PREFIX}${GROUP}/${PROXY}`;
    releases.onPut({key, value: Buffer.from(value), revision: 1, leaseId: 1});
  }

  function least(): LogPosition | undefined {
    return releases.leastAcknowledgedBy(GROUP, PROXY);
  }

  it('says what was written', () => {
    const bound = fc
      .option(position, {nil: undefined})
      .map(acknowledged => ({position: acknowledged}));
    fc.assert(
      fc.property(
        fc.option(bound, {nil: undefined}),
        fc.option(position, {nil: undefined}),
        (acknowledged, leastPosition) => {
          read(releaseValue(KNOWN, acknowledged, leastPosition));
          expect(releases.hasReleased(GROUP, PROXY, KNOWN)).toEqual(true);
          expect(releases.acknowledgedBy(GROUP, PROXY, KNOWN)).toEqual(
            acknowledged,
          );
          expect(least()).toEqual(leastPosition);
        },
      ),
      OPTIONS,
    );
  });

  describe('of an earlier version', () => {
    for (const value of ['3/7', '3/7/-', '3/7/2.41']) {
      it(`has no least position: ${value}`, () => {
        read(value);
        expect(releases.hasReleased(GROUP, PROXY, KNOWN)).toEqual(true);
        expect(least()).toEqual(undefined);
      });
    }
  });

  describe('as an earlier version reads it', () => {
    it('is as before if the position is known', () => {
      const acknowledged = {position: {term: 2, position: 41}};
      const parts = releaseValue(KNOWN, acknowledged, LEAST).split('/');
      expect(parts.slice(0, EARLIER_PARTS).join('/')).toEqual('3/7/2.41');
    });

    it('has no position if none is known', () => {
      const parts = releaseValue(KNOWN, undefined, LEAST).split('/');
      const text = parts[EARLIER_PARTS - 1] ?? '';
      const [, number] = text.split('.').map(Number);
      expect(text).not.toEqual('-');
      expect(Number.isSafeInteger(number)).toEqual(false);
    });
  });

  it('counts for any later record, because an acknowledged commit stays one', () => {
    read(releaseValue(KNOWN, undefined, LEAST));
    const later = {...KNOWN, revision: 8};
    expect(releases.hasReleased(GROUP, PROXY, later)).toEqual(false);
    expect(least()).toEqual(LEAST);
  });
});
