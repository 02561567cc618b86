import {describe, it} from 'node:test';
import {createSilentLogger} from '@sapphireglade/runtime';
import {expect} from 'earl';
import fc from 'fast-check';
import type {CoordinationStore, DatabaseGroup} from '../src/index.js';
import type {StoreTransaction} from '../src/index.js';
import {AcknowledgedCommits, PrimaryReleases} from '../src/index.js';

const OPTIONS = {seed: 20_264, numRuns: 300};

const LEASE = 4;

const KNOWN = {
  record: {term: 2, primary: 'i-1', phase: 'changing'},
  revision: 7,
  generation: 0,
};

/** Publishes the release of a proxy; returns the key. */
async function publishRelease(group: string, proxy: string): Promise<string> {
  const keys: string[] = [];
  const store = {
    transact: async ({puts}: StoreTransaction) => {
      keys.push(...puts.map(({key}) => key));
    },
  };
  const releases = new PrimaryReleases(
    proxy,
    store as unknown as CoordinationStore,
    () => LEASE,
    createSilentLogger(),
  );
  let emit: (known: typeof KNOWN) => void = () => undefined;
  const records$ = {subscribe: (listener: typeof emit) => (emit = listener)};
  const acknowledged = new AcknowledgedCommits();
  const followed = {name: group, records$, acknowledged};
  releases.follow(followed as unknown as DatabaseGroup);
  emit(KNOWN);
  await Promise.resolve();
  return keys[0]!;
}

/** Returns the releases as read from the store. */
function releasesOf(key: string): PrimaryReleases {
  const releases = new PrimaryReleases(
    'reader',
    undefined as unknown as CoordinationStore,
    () => LEASE,
    createSilentLogger(),
  );
  const value = Buffer.from('0/7');
  releases.onPut({key, value, revision: 8, leaseId: LEASE});
  return releases;
}

/** Generates parts of names, with the characters that keys are built with. */
const part = fc.constantFrom('', 'a', 'b', '%', '%2F', ' ', 'é', '?', 'a%');

/** Splits parts into the names of a group and of a proxy. */
function namesAt(
  parts: readonly string[],
  position: number,
): [group: string, proxy: string] {
  const end = 1 + (position % (parts.length - 1));
  return [parts.slice(0, end).join('/'), parts.slice(end).join('/')];
}

describe('the key of a release', () => {
  it('is that of plain names as before', async () => {
    expect(await publishRelease('ledger', 'front-1')).toEqual(
      'sapphireglade/released/ledger/front-1',
    );
  });

  it('names one group and one proxy, whatever their names hold', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.array(part, {minLength: 3, maxLength: 5}),
        fc.nat(),
        fc.nat(),
        async (parts, position, otherPosition) => {
          const [group, proxy] = namesAt(parts, position);
          const other = namesAt(parts, otherPosition);
          const releases = releasesOf(await publishRelease(group, proxy));
          expect(releases.hasReleased(group, proxy, KNOWN)).toEqual(true);
          expect(releases.hasReleased(...other, KNOWN)).toEqual(
            group === other[0] && proxy === other[1],
          );
        },
      ),
      OPTIONS,
    );
  });

  it('tells a slash in the name of a group from one in that of a proxy', async () => {
    const releases = releasesOf(await publishRelease('a', 'b/c'));
    expect(releases.hasReleased('a/b', 'c', KNOWN)).toEqual(false);
    expect(releases.hasReleased('a', 'b/c', KNOWN)).toEqual(true);
  });
});
