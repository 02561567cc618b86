import {createInterface} from 'node:readline';
import {loadSettings} from '@sapphireglade/runtime';
import {Command} from 'commander';
import type {z} from 'zod';
import {runProcessReaper} from './core/fleet/process-reaper.js';
import {
  DatabaseInstance,
  instanceSettingsSchema,
} from './core/instance/index.js';
import {NetworkRelay, relaySettingsSchema} from './core/relay/index.js';
import {PlatformStoreService, storeSettingsSchema} from './core/store/index.js';
import {VmListService, vmListSettingsSchema} from './core/vm-list/index.js';

/** Lifecycle of a stand-in. */
interface StandInService {
  start(): Promise<void>;
  stop(): Promise<void>;
}

/**
 * Runs one stand-in until SIGTERM or SIGINT.
 *
 * @param argv - Arguments of the process.
 */
export async function runCommandLine(argv: readonly string[]): Promise<void> {
  const program = new Command('sapphireglade-stand-ins').description(
    'Runs a stand-in for an upstream, the platform or the network.',
  );
  addCommand(
    program,
    'instance',
    'Runs a database instance.',
    instanceSettingsSchema,
    settings => new DatabaseInstance(settings),
  );
  addCommand(
    program,
    'store',
    "Runs the platform's key-value service.",
    storeSettingsSchema,
    settings => new PlatformStoreService(settings),
  );
  addCommand(
    program,
    'vm-list',
    "Runs the platform's list of VMs.",
    vmListSettingsSchema,
    settings => new VmListService(settings),
  );
  addCommand(
    program,
    'relay',
    'Runs the network between availability zones.',
    relaySettingsSchema,
    settings => new NetworkRelay(settings),
  );
  program
    .command('guard')
    .description('Ends the processes named on standard input when it closes.')
    .action(() => {
      const lines = createInterface({input: process.stdin});
      return runProcessReaper(lines, pid => process.kill(pid, 'SIGKILL'));
    });
  await program.parseAsync(argv);
}

function addCommand<Schema extends z.ZodType>(
  program: Command,
  name: string,
  description: string,
  schema: Schema,
  create: (settings: z.infer<Schema>) => StandInService,
): void {
  program
    .command(name)
    .description(description)
    .requiredOption('--settings <file>', 'path of the settings file (JSON)')
    .action(async ({settings}: {settings: string}) => {
      const service = create(loadSettings(settings, schema));
      await service.start();
      stopOnSignal(service);
    });
}

function stopOnSignal(service: StandInService): void {
  const stop = (): void => {
    void service.stop().then(() => process.exit(0));
  };
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
}
