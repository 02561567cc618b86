import {createSilentLogger} from '@sapphireglade/runtime';
import {describe, it} from 'node:test';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'earl';
import type {PrimaryChangeContext} from '../../src/index.js';
import {
  ControlConnections,
  CoordinatorTask,
  InstanceDirectory,
} from '../../src/index.js';
import {steadyNowMs} from '../../src/core/time/index.js';
import {MemoryConnector} from '../support/memory-connector.js';
import {registeredInstance} from '../support/primary-change-context.js';

const SELF = 'proxy-0';

/** Long enough for several checks of the coordinator, in milliseconds. */
const SEVERAL_CHECKS_MS = 350;

/** Longer than any grace period of a missing entry, in milliseconds. */
const AFTER_GRACE_MS = 60_000;

describe('a proxy that becomes the coordinator with an old directory', () => {
  it('checks no group before it has read the directory again', async () => {
    const log = createSilentLogger();
    const control = new ControlConnections(
      new MemoryConnector(SELF, new Map()),
      log,
    );
    let checkedGroups = 0;
    let refreshes = 0;
    let syncedAtMs = steadyNowMs() - 1;
    const coordinator = new CoordinatorTask({
      context: {
        self: SELF,
        control,
        log,
        knownProxies: {names: []},
        configuration: {
          get current() {
            checkedGroups += 1;
            return undefined;
          },
        },
      } as unknown as PrimaryChangeContext,
      key: {holder: SELF, revision: 1} as never,
      lease: undefined as never,
      holder: SELF,
      isConnected: () => true,
      isUpToDate: sinceMs => syncedAtMs >= sinceMs,
      onRefreshNeeded: () => {
        refreshes += 1;
      },
    });
    await coordinator.start();
    await sleep(SEVERAL_CHECKS_MS);
    expect(checkedGroups).toEqual(0);
    expect(refreshes > 0).toEqual(true);
    syncedAtMs = steadyNowMs();
    await sleep(SEVERAL_CHECKS_MS);
    expect(checkedGroups > 0).toEqual(true);
    clearInterval((coordinator as unknown as {timer: NodeJS.Timeout}).timer);
  });
});

describe('InstanceDirectory, an entry that was removed', () => {
  function directoryWithMissingEntry(): InstanceDirectory {
    const directory = new InstanceDirectory(createSilentLogger());
    directory.register(registeredInstance('ledger-0', 'ledger'));
    directory.markMissing('ledger-0');
    return directory;
  }

  it('keeps the instance while no response was requested after the grace period', () => {
    const directory = directoryWithMissingEntry();
    directory.removeMissing(steadyNowMs(), false);
    expect(directory.find('ledger-0') !== undefined).toEqual(true);
  });

  it('removes the instance if a response that was requested later lacks it', () => {
    const directory = directoryWithMissingEntry();
    directory.removeMissing(steadyNowMs() + AFTER_GRACE_MS, false);
    expect(directory.find('ledger-0')).toEqual(undefined);
  });

  it('keeps the instance if the entry has returned', () => {
    const directory = directoryWithMissingEntry();
    directory.register(registeredInstance('ledger-0', 'ledger'));
    directory.removeMissing(steadyNowMs() + AFTER_GRACE_MS, false);
    expect(directory.find('ledger-0') !== undefined).toEqual(true);
  });
});
