import {afterEach, beforeEach, describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import {MemoryStoreState} from './support/memory-store.js';

/** Duration of a short lease, in milliseconds. */
const SHORT_LEASE_MS = 200;

/** Part of the duration of a short lease, in milliseconds. */
const PART_OF_LEASE_MS = 120;

describe('MemoryStoreState', () => {
  let state: MemoryStoreState;

  beforeEach(() => {
    state = new MemoryStoreState();
  });

  afterEach(() => state.close());

  function valueOf(key: string): string | undefined {
    return state.items.get(key)?.value.toString();
  }

  describe('restored from a backup', () => {
    it('loses what was written since, and has again what was removed since', () => {
      state.put('kept', 'old');
      state.put('removed', 'there');
      const backup = state.backup();
      state.put('kept', 'new');
      state.put('added', 'later');
      state.remove('removed');
      state.restore(backup);
      expect(valueOf('kept')).toEqual('old');
      expect(valueOf('removed')).toEqual('there');
      expect(valueOf('added')).toEqual(undefined);
    });

    it('gives its revisions out again', () => {
      const backup = state.backup();
      state.put('a', 'lost');
      const {revision} = state.items.get('a')!;
      state.restore(backup);
      expect(state.revision).toEqual(backup.revision);
      state.put('b', 'next');
      expect(state.items.get('b')!.revision).toEqual(revision);
    });

    it('gives the ids of its leases out again', () => {
      const kept = state.grantLease(60_000);
      const backup = state.backup();
      const lost = state.grantLease(60_000);
      state.restore(backup);
      expect([...state.leases.keys()]).toEqual([kept]);
      expect(state.renewLease(lost)).toEqual(false);
      expect(state.grantLease(60_000)).toEqual(lost);
    });

    it('has a lease again that ended since, with its keys', () => {
      const lease = state.grantLease(60_000);
      state.put('held', 'x', lease);
      const backup = state.backup();
      state.revokeLease(lease);
      state.restore(backup);
      expect(state.items.get('held')?.leaseId).toEqual(lease);
      expect(state.renewLease(lease)).toEqual(true);
      state.revokeLease(lease);
      expect(state.items.has('held')).toEqual(false);
    });

    it('lets its leases last for their whole duration again', async () => {
      const lease = state.grantLease(SHORT_LEASE_MS);
      const backup = state.backup();
      await sleep(PART_OF_LEASE_MS);
      state.restore(backup);
      const {ttlMs, endsAtMs} = state.leases.get(lease)!;
      expect(ttlMs).toEqual(SHORT_LEASE_MS);
      expect(endsAtMs > performance.now() + PART_OF_LEASE_MS).toEqual(true);
    });

    it('has no history up to its revision, and none after a revision it does not have', () => {
      state.put('a', '1');
      const backup = state.backup();
      state.put('a', '2');
      const lost = state.revision;
      state.restore(backup);
      expect(state.events).toEqual([]);
      expect(state.hasHistoryAfter(backup.revision - 1)).toEqual(false);
      expect(state.hasHistoryAfter(backup.revision)).toEqual(true);
      expect(state.hasHistoryAfter(lost)).toEqual(false);
      state.put('a', '3');
      expect(state.hasHistoryAfter(lost)).toEqual(true);
    });

    it('is of the next generation each time, also from the same backup', () => {
      expect(state.generation).toEqual(1);
      state.put('a', 'kept');
      const backup = state.backup();
      for (const generation of [2, 3]) {
        state.put('a', 'lost');
        state.restore(backup);
        expect(state.generation).toEqual(generation);
        expect(valueOf('a')).toEqual('kept');
      }
    });
  });

  it('gives one revision to all that a transaction changes', () => {
    state.put('removed', 'x');
    const {revision} = state;
    state.apply([{key: 'put', value: 'y', leaseId: 0}], ['removed', 'absent']);
    expect(state.revision).toEqual(revision + 1);
    expect(state.items.get('put')?.revision).toEqual(state.revision);
    expect(state.items.has('removed')).toEqual(false);
    const changes = state.events.filter(each => each.revision > revision);
    expect(changes.map(({key}) => key)).toEqual(['put', 'removed']);
  });

  it('has no new revision after a transaction that changes nothing', () => {
    const {revision} = state;
    state.apply([], ['absent']);
    expect(state.revision).toEqual(revision);
  });

  it('keeps its history while it is not restored', () => {
    const first = state.revision;
    state.put('a', '1');
    expect(state.hasHistoryAfter(first)).toEqual(true);
    state.compact();
    expect(state.hasHistoryAfter(first)).toEqual(false);
    expect(state.hasHistoryAfter(state.revision)).toEqual(true);
  });
});
