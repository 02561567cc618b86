import type {ClockReading} from '@sapphireglade/decisions';
import {InstanceUse} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {RegisteredInstance} from '../../src/index.js';
import {DirectoryUsePolicy, InstanceDirectory} from '../../src/index.js';
import {registeredInstance} from '../support/primary-change-context.js';

const LEAVE_WITHIN_MS = 7_000;

/** Age of a confirmation that is too old to use an instance, in milliseconds. */
const TOO_OLD_MS = 6_500;

const INSTANCE = registeredInstance('ledger-1', 'ledger');

/** Returns the reading of both clocks a number of milliseconds ago. */
function before(milliseconds: number): ClockReading {
  return {
    steadyMs: performance.now() - milliseconds,
    wallMs: Date.now() - milliseconds,
  };
}

describe('DirectoryUsePolicy', () => {
  let directory: InstanceDirectory;
  let isStoreReachable: boolean;
  let refreshes: number;
  let policy: DirectoryUsePolicy;

  beforeEach(() => {
    isStoreReachable = true;
    refreshes = 0;
    directory = new InstanceDirectory(createSilentLogger());
    directory.register(INSTANCE);
    policy = new DirectoryUsePolicy({
      directory,
      leaveWithinMs: () => LEAVE_WITHIN_MS,
      isStoreReachable: () => isStoreReachable,
      onUnconfirmed: () => (refreshes += 1),
    });
  });

  function useOf(instance: RegisteredInstance, isPrimary = false): InstanceUse {
    return policy.useOf(instance, isPrimary);
  }

  it('withholds an instance that only stale reads have shown, and asks for a read', () => {
    expect(useOf(INSTANCE)).toEqual(InstanceUse.Unconfirmed);
    expect(refreshes).toEqual(1);
    directory.confirm(before(0));
    expect(useOf(INSTANCE)).toEqual(InstanceUse.Allowed);
  });

  it('withholds it again once the last read is too old, unless the store does not answer', () => {
    directory.confirm(before(TOO_OLD_MS));
    expect(useOf(INSTANCE)).toEqual(InstanceUse.Unconfirmed);
    isStoreReachable = false;
    expect(useOf(INSTANCE)).toEqual(InstanceUse.Allowed);
  });

  it('counts the time that passed while the VM was suspended', () => {
    const {steadyMs} = before(0);
    directory.confirm({steadyMs, wallMs: before(TOO_OLD_MS).wallMs});
    expect(useOf(INSTANCE)).toEqual(InstanceUse.Unconfirmed);
  });

  describe('an instance whose entry is gone', () => {
    it('is withheld once it was last seen too long ago, although the directory is recent', () => {
      directory.confirm(before(TOO_OLD_MS));
      directory.markMissing(INSTANCE.id);
      directory.confirm(before(0));
      expect(useOf(INSTANCE)).toEqual(InstanceUse.Unconfirmed);
    });

    it('is used again as soon as its entry is back', () => {
      directory.confirm(before(TOO_OLD_MS));
      directory.markMissing(INSTANCE.id);
      directory.register(INSTANCE);
      directory.confirm(before(0));
      expect(useOf(INSTANCE)).toEqual(InstanceUse.Allowed);
    });
  });

  describe('a primary that is leaving', () => {
    const leaving = {...INSTANCE, isLeaving: true};

    it('is used until it was last confirmed to stay too long ago, however recent the directory is', () => {
      directory.confirm(before(0));
      directory.register(leaving);
      expect(useOf(leaving, true)).toEqual(InstanceUse.Allowed);
    });

    it('is withheld after that', () => {
      directory.confirm(before(TOO_OLD_MS));
      directory.register(leaving);
      directory.confirm(before(0));
      expect(useOf(leaving, true)).toEqual(InstanceUse.Leaving);
    });

    it('is withheld if it was never confirmed to stay', () => {
      directory.register(leaving);
      directory.confirm(before(0));
      expect(useOf(leaving, true)).toEqual(InstanceUse.Leaving);
    });
  });
});
