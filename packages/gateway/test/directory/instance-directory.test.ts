import {createSilentLogger} from '@sapphireglade/runtime';
import {beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import type {RegisteredInstance} from '../../src/index.js';
import {InstanceDirectory} from '../../src/index.js';
import {registeredInstance} from '../support/primary-change-context.js';

const STAYING = registeredInstance('ledger-1', 'ledger');

describe('InstanceDirectory', () => {
  let directory: InstanceDirectory;

  beforeEach(() => {
    directory = new InstanceDirectory(createSilentLogger());
    directory.register({...STAYING, isLeaving: true, sequence: 7});
  });

  /** Returns whether the instance is leaving after another registration. */
  function isLeavingAfter(registration: RegisteredInstance): boolean {
    directory.replaceAll([registration]);
    return directory.find(STAYING.id)!.isLeaving;
  }

  describe('an instance that is leaving', () => {
    it('stays leaving if an older registration without a sequence is restored', () => {
      expect(isLeavingAfter(STAYING)).toEqual(true);
    });

    it('stays leaving if it registers as staying once more', () => {
      expect(isLeavingAfter({...STAYING, sequence: 8})).toEqual(true);
    });

    it('stays leaving if its entry was missing in between', () => {
      directory.markMissing(STAYING.id);
      expect(isLeavingAfter({...STAYING, sequence: 8})).toEqual(true);
    });

    it('no longer is once it has started again', () => {
      expect(isLeavingAfter({...STAYING, bornAtMs: 2})).toEqual(false);
    });
  });

  describe('the time at which an entry was last listed', () => {
    const restarted = {...STAYING, bornAtMs: 2};

    beforeEach(() => {
      directory.replaceAll([STAYING]);
      directory.confirm({steadyMs: 10, wallMs: 10});
    });

    it('is that of the last response while it is listed', () => {
      directory.confirm({steadyMs: 20, wallMs: 20});
      expect(directory.lastListedAtMs(STAYING)).toEqual(20);
    });

    it('is that of the response before the one without it', () => {
      directory.replaceAll([]);
      directory.confirm({steadyMs: 20, wallMs: 20});
      expect(directory.lastListedAtMs(STAYING)).toEqual(10);
      directory.replaceAll([]);
      directory.confirm({steadyMs: 30, wallMs: 30});
      expect(directory.lastListedAtMs(STAYING)).toEqual(10);
    });

    it('is that of the response before the one with its next start', () => {
      directory.replaceAll([restarted]);
      directory.confirm({steadyMs: 20, wallMs: 20});
      expect(directory.lastListedAtMs(STAYING)).toEqual(10);
      expect(directory.lastListedAtMs(restarted)).toEqual(20);
    });

    it('is that of the last response again once it is back', () => {
      directory.replaceAll([]);
      directory.confirm({steadyMs: 20, wallMs: 20});
      directory.replaceAll([STAYING]);
      directory.confirm({steadyMs: 30, wallMs: 30});
      expect(directory.lastListedAtMs(STAYING)).toEqual(30);
    });

    it('is not known of a start that was never listed', () => {
      expect(directory.lastListedAtMs(restarted)).toEqual(Infinity);
    });
  });
});
