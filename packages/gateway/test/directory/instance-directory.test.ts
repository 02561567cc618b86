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

  describe('an instance whose entry was removed', () => {
    for (const sequence of [7, 6]) {
      it(`is reported once it registers again with the sequence ${sequence}`, () => {
        directory.markMissing(STAYING.id);
        expect(directory.isRegistered(STAYING.id)).toEqual(false);
        let changes = 0;
        directory.changes$.subscribe(() => (changes += 1));
        directory.register({...STAYING, isLeaving: true, sequence});
        expect(directory.isRegistered(STAYING.id)).toEqual(true);
        expect(changes).toEqual(1);
      });
    }
  });
});
