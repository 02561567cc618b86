import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {existsSync, mkdtempSync, readdirSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {afterEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {
  createFleetFolder,
  deploymentSchema,
  loadExampleDeployment,
  LoopbackNetwork,
  planFleet,
  ProcessReaper,
  removeFleetFolder,
  runProcessReaper,
  waitUntil,
} from '../src/index.js';

/** How long a process may take to be ended, in milliseconds. */
const END_TIMEOUT_MS = 60_000;

describe('the examples', () => {
  for (const name of ['demo', 'lahore', 'teranga']) {
    it(`${name}: give every process an address of its own`, async () => {
      const network = await LoopbackNetwork.reserve();
      try {
        const plan = planFleet(loadExampleDeployment(name), network, true);
        const processes = [
          ...plan.vms,
          ...plan.instances,
          plan.store,
          plan.vmList,
        ];
        const addresses = processes.flatMap(({address, publishedAddress}) => [
          address,
          publishedAddress,
        ]);
        expect(new Set(addresses).size).toEqual(addresses.length);
      } finally {
        network.release();
      }
    });
  }

  it('have the sizes of the brief', () => {
    const sizes = ['lahore', 'teranga'].map(name => {
      const {vms, groups, zones} = loadExampleDeployment(name);
      const limits = groups.flatMap(({instances}) =>
        instances.map(({connectionLimit}) => connectionLimit),
      );
      const slots = groups.flatMap(({instances}) =>
        instances.map(one => one.slots),
      );
      return {
        vms: vms.length,
        zones: zones.length,
        instances: limits.length,
        limits: [...new Set(limits)],
        slots: [...new Set(slots)],
      };
    });
    const common = {zones: 3, instances: 9, slots: [3]};
    expect(sizes).toEqual([
      {...common, vms: 9, limits: [20]},
      {...common, vms: 8, limits: [40]},
    ]);
  });

  it('refuse a deployment without a zone', () => {
    const {zones: _, ...rest} = loadExampleDeployment('demo');
    expect(deploymentSchema.safeParse(rest).success).toEqual(false);
  });
});

describe('the folder of a fleet', () => {
  const variable = 'SAPPHIREGLADE_TEST_LOGS';
  const before = process.env[variable];
  afterEach(() => {
    if (before === undefined) delete process.env[variable];
    else process.env[variable] = before;
  });

  it('is removed with the fleet where no runner keeps logs', () => {
    delete process.env[variable];
    const folder = createFleetFolder('fleet-');
    removeFleetFolder(folder);
    expect(existsSync(folder)).toEqual(false);
  });

  it('stays under the test runner, with the name of the test file', () => {
    const kept = mkdtempSync(join(tmpdir(), 'kept-'));
    process.env[variable] = kept;
    const folder = createFleetFolder('fleet-');
    removeFleetFolder(folder);
    const [name = ''] = readdirSync(kept);
    rmSync(kept, {recursive: true});
    expect(join(kept, name)).toEqual(folder);
    expect(name.startsWith('fleet.test.js-')).toEqual(true);
  });
});

describe('ProcessGuard', () => {
  it('ends the processes that still run when the launcher is gone', async () => {
    const child = spawn(process.execPath, [
      '--eval',
      'setInterval(() => undefined, 1000)',
    ]);
    const ended = once(child, 'exit');
    const guard = new ProcessReaper();
    guard.report(child.pid ?? 0, true);
    guard.close();
    await waitUntil(
      'The process is ended',
      () => child.signalCode !== null,
      END_TIMEOUT_MS,
    );
    await ended;
    expect(child.signalCode).toEqual('SIGKILL');
  });

  it('leaves processes alone that have ended by themselves', async () => {
    async function* lines(): AsyncGenerator<string> {
      yield* ['+11', '+12', '-11'];
    }
    const killed: number[] = [];
    await runProcessReaper(lines(), pid => killed.push(pid));
    expect(killed).toEqual([12]);
  });
});
