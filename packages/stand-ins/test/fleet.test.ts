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

/** Time allowed for a process to be killed, in milliseconds. */
const END_TIMEOUT_MS = 60_000;

describe('example deployments', () => {
  for (const name of ['demo', 'lahore', 'teranga']) {
    it(`${name}: assign a distinct address to every process`, async () => {
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

  it('match the sizes of the described deployments', () => {
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

  it('are invalid without a zone', () => {
    const {zones: _, ...rest} = loadExampleDeployment('demo');
    expect(deploymentSchema.safeParse(rest).success).toEqual(false);
  });
});

describe('fleet folder', () => {
  const variable = 'SAPPHIREGLADE_TEST_LOGS';
  const before = process.env[variable];
  afterEach(() => {
    if (before === undefined) delete process.env[variable];
    else process.env[variable] = before;
  });

  it('is removed with the fleet if no test runner keeps logs', () => {
    delete process.env[variable];
    const folder = createFleetFolder('fleet-');
    removeFleetFolder(folder);
    expect(existsSync(folder)).toEqual(false);
  });

  it('is kept under the test runner, with the name of the test file', () => {
    const logsFolder = mkdtempSync(join(tmpdir(), 'kept-'));
    process.env[variable] = logsFolder;
    const folder = createFleetFolder('fleet-');
    removeFleetFolder(folder);
    const [name = ''] = readdirSync(logsFolder);
    rmSync(logsFolder, {recursive: true});
    expect(join(logsFolder, name)).toEqual(folder);
    expect(name.startsWith('fleet.test.js-')).toEqual(true);
  });
});

describe('ProcessReaper', () => {
  it('kills the processes still running when the launcher has exited', async () => {
    const child = spawn(process.execPath, [
      '--eval',
      'setInterval(() => undefined, 1000)',
    ]);
    const ended = once(child, 'exit');
    const reaper = new ProcessReaper();
    reaper.report(child.pid ?? 0, true);
    reaper.close();
    await waitUntil(
      'The process is ended',
      () => child.signalCode !== null,
      END_TIMEOUT_MS,
    );
    await ended;
    expect(child.signalCode).toEqual('SIGKILL');
  });

  it('does not kill processes that have already exited', async () => {
    async function* lines(): AsyncGenerator<string> {
      yield* ['+11', '+12', '-11'];
    }
    const killed: number[] = [];
    await runProcessReaper(lines(), pid => killed.push(pid));
    expect(killed).toEqual([12]);
  });
});
