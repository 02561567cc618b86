/** Command line of operators. */
import {Command, CommanderError, InvalidArgumentError} from 'commander';
import {ExitCode, CommandError} from './core/client/index.js';
import type {
  ChangeOptions,
  CommandContext,
  GlobalOptions,
} from './core/commands/index.js';
import {
  applyFile,
  createCompletionScript,
  createCommandContext,
  deleteResource,
  drainInstance,
  explainRequest,
  getResources,
  hashKeyCommand,
  promoteInstance,
  showStatus,
  showTimeline,
  watchRevision,
} from './core/commands/index.js';
import type {OperatorConsole} from './core/output/index.js';

const HELP = `
Environment:
  SAPPHIREGLADE_PROXY         default of --proxy
  SAPPHIREGLADE_OPERATOR      default of --operator
  SAPPHIREGLADE_OPERATOR_KEY  key, if there is no --key-file

Exit codes:
  0 done               3 not found           6 proxy or store not available
  1 refused or failed  4 changed meanwhile   7 did not happen in time
  2 wrong usage        5 key missing/wrong   8 some proxies did not respond

Examples:
  sapphireglade-operator status
  sapphireglade-operator apply ledgers.json --dry-run
  sapphireglade-operator apply ledgers.json --reason "new depot" --wait
  sapphireglade-operator drain ledger-1/ledger-1-b --reason "disk change" --wait
  sapphireglade-operator timeline --group ledger-1 --minutes 30 --html night.html
  sapphireglade-operator explain 6f3a7c1e`;

/** Runs a command and stores its exit code. */
class CommandRunner {
  exitCode: ExitCode = ExitCode.Success;

  constructor(
    private readonly program: Command,
    readonly console: OperatorConsole,
  ) {}

  /** Runs a command that sends requests to a proxy. */
  async run(
    action: (context: CommandContext) => Promise<ExitCode | void>,
  ): Promise<void> {
    const options = this.program.opts<GlobalOptions>();
    const context = createCommandContext(options, this.console);
    this.exitCode = (await action(context)) ?? ExitCode.Success;
  }
}

/**
 * Runs the command-line tool.
 *
 * @param argv - Arguments in the form of `process.argv`.
 * @param console - Input, output and environment of the command.
 * @returns Exit code of the process.
 */
export async function runOperator(
  argv: readonly string[],
  console: OperatorConsole,
): Promise<ExitCode> {
  const program = createProgram(console);
  const runner = new CommandRunner(program, console);
  addResourceCommands(program, runner);
  addInstanceCommands(program, runner);
  addDiagnosticCommands(program, runner);
  addLocalCommands(program, runner);
  try {
    await program.parseAsync(argv);
    return runner.exitCode;
  } catch (error) {
    return reportError(error, console);
  }
}

function createProgram(console: OperatorConsole): Command {
  return new Command('sapphireglade-operator')
    .description(
      'Changes the configuration of sapphireglade and shows its state.',
    )
    .version('0.1.0')
    .option('--proxy <origin>', 'operator port of any proxy')
    .option('--operator <name>', 'name of the operator')
    .option('--key-file <path>', "file with the operator's key")
    .option('--output <format>', 'table or json', 'table')
    .addHelpText('after', HELP)
    .exitOverride()
    .configureOutput({
      writeOut: text => console.print(text.trimEnd()),
      writeErr: text => console.printError(text.trimEnd()),
    });
}

function addResourceCommands(program: Command, runner: CommandRunner): void {
  program
    .command('get [reference]')
    .description('list resources, those of a KIND, or show KIND/NAME')
    .action((reference: string | undefined) =>
      runner.run(context => getResources(context, reference)),
    );
  addChangeOptions(
    program
      .command('apply <file>')
      .description('create or change resources from a file, or - for input'),
  ).action((file: string, options: ChangeOptions) =>
    runner.run(context => applyFile(context, file, options)),
  );
  addChangeOptions(
    program.command('delete <reference>').description('delete KIND/NAME'),
  ).action((reference: string, options: ChangeOptions) =>
    runner.run(context => deleteResource(context, reference, options)),
  );
  program
    .command('watch')
    .description('wait until a revision is in force in every zone')
    .option(
      '--revision <number>',
      'revision to wait for (default: the current one)',
      parseNumber,
    )
    .option('--timeout <seconds>', 'longest wait', parseNumber)
    .action(options => runner.run(context => watchRevision(context, options)));
}

function addInstanceCommands(program: Command, runner: CommandRunner): void {
  addChangeOptions(
    program
      .command('drain <instance>')
      .description('send no new work to GROUP/INSTANCE')
      .option('--stop', 'mark it as about to stop')
      .option('--undo', 'send work to it again'),
  ).action((reference: string, options: ChangeOptions) =>
    runner.run(context => drainInstance(context, reference, options)),
  );
  addChangeOptions(
    program
      .command('promote <instance>')
      .description('make GROUP/INSTANCE the primary'),
  ).action((reference: string, options: ChangeOptions) =>
    runner.run(context => promoteInstance(context, reference, options)),
  );
}

function addDiagnosticCommands(program: Command, runner: CommandRunner): void {
  program
    .command('status')
    .description('show groups, zones and entry VMs')
    .action(() => runner.run(context => showStatus(context)));
  program
    .command('timeline')
    .description('show the merged events of all proxies')
    .option('--group <name>', 'only events of this group')
    .option('--on-proxy <name>', 'only events recorded by this proxy')
    .option('--kind <kind...>', 'only events of these kinds')
    .option('--request <identifier>', 'only events of this request')
    .option(
      '--minutes <number>',
      'only events of the last minutes',
      parseNumber,
    )
    .option('--requests', 'include the steps of single requests')
    .option('--summary', 'only the changes of primary')
    .option('--html <file>', 'write an HTML page with a column per process')
    .action(options => runner.run(context => showTimeline(context, options)));
  program
    .command('explain <request>')
    .description('show what happened to one request, step by step')
    .action((request: string) =>
      runner.run(context => explainRequest(context, request)),
    );
}

function addLocalCommands(program: Command, runner: CommandRunner): void {
  program
    .command('hash-key')
    .description('print a salted hash of the key on standard input')
    .option('--generate', 'generate a new key and print it once')
    .action(options => hashKeyCommand(runner.console, options));
  program
    .command('completion')
    .description('print a completion script for bash')
    .action(() => runner.console.print(createCompletionScript(program)));
}

function addChangeOptions(command: Command): Command {
  return command
    .option('--dry-run', 'show what would change without changing it')
    .option('--reason <text>', 'reason to record with the change')
    .option('--wait', 'wait until the change is in force in every zone')
    .option('--timeout <seconds>', 'longest wait', parseNumber);
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value >= 0) return value;
  throw new InvalidArgumentError('It must be a number of zero or more.');
}

/** Prints an error with its hint and returns the exit code. */
function reportError(error: unknown, console: OperatorConsole): ExitCode {
  if (error instanceof CommandError) {
    console.printError(`Error: ${error.message}`);
    console.printError(`Next: ${error.hint}`);
    return error.exitCode;
  }
  if (error instanceof CommanderError) {
    return error.exitCode === 0 ? ExitCode.Success : ExitCode.Usage;
  }
  throw error;
}
