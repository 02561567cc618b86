/** The command line of the proxy. */
import {SapphiregladeError} from '@sapphireglade/decisions';
import {loadSettings} from '@sapphireglade/runtime';
import {Command} from 'commander';
import {createProxyContext, ProxyProcess} from './core/process/index.js';
import {proxySettingsSchema} from './core/settings/index.js';

/** Exit code for invalid settings. */
const INVALID_SETTINGS_EXIT_CODE = 2;

/** Exit code if the proxy cannot start or fails. */
const FAILURE_EXIT_CODE = 1;

/**
 * Runs the command line.
 *
 * @param argv - Arguments in the form of `process.argv`.
 */
export async function main(argv: readonly string[]): Promise<void> {
  const program = new Command('sapphireglade')
    .description('A database proxy with session consistency.')
    .version('0.1.0');
  program
    .command('run')
    .description('Run the proxy of this entry VM.')
    .requiredOption('--settings <file>', 'settings in JSON')
    .option('--check', 'check the settings and exit')
    .addHelpText(
      'after',
      '\nExample:\n  sapphireglade run --settings settings.json --check',
    )
    .action(run);
  await program.parseAsync(argv);
}

/** Starts the proxy, or validates its settings with `--check`. */
async function run(options: {
  settings: string;
  check?: boolean;
}): Promise<void> {
  const settings = readSettings(options.settings);
  if (options.check === true) {
    console.log(`The settings in ${options.settings} are valid.`);
    return;
  }
  const proxy = new ProxyProcess(createProxyContext(settings));
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.once(signal, () => void stop(proxy, signal));
  }
  proxy.failures$.subscribe(error => {
    console.error(error.message);
    process.exit(FAILURE_EXIT_CODE);
  });
  try {
    await proxy.start();
  } catch (error) {
    console.error((error as Error).message);
    process.exit(FAILURE_EXIT_CODE);
  }
}

/** Reads the settings; prints the error and exits if they are invalid. */
function readSettings(
  path: string,
): ReturnType<typeof proxySettingsSchema.parse> {
  try {
    return loadSettings(path, proxySettingsSchema);
  } catch (error) {
    if (!(error instanceof SapphiregladeError)) throw error;
    console.error(error.message);
    console.error(error.definition.hint);
    process.exit(INVALID_SETTINGS_EXIT_CODE);
  }
}

async function stop(proxy: ProxyProcess, reason: string): Promise<void> {
  await proxy.stop(reason);
  process.exit(0);
}
