import {readFileSync, writeFileSync} from 'node:fs';
import {
  createLoggerFactory,
  LogFormat,
  LogLevel,
  LogPart,
} from '@sapphireglade/runtime';
import {loadDeployment} from '@sapphireglade/stand-ins';
import {Command, InvalidArgumentError} from 'commander';
import type {Experiment} from './core/experiments/index.js';
import {EXPERIMENTS, runExperiment} from './core/experiments/index.js';
import {createRandomSource} from './core/load/index.js';
import type {Measurement} from './core/report/index.js';
import {measurementSchema, formatHtmlReport} from './core/report/index.js';

const DEFAULT_STEP_MS = 10_000;
const DEFAULT_REPETITIONS = 10;

/** Options of every experiment. */
interface ExperimentOptions {
  readonly deployment: string;
  readonly seed: number;
  readonly stepMs: number;
  readonly repetitions: number;
  readonly out?: string;
  readonly page?: string;
}

/**
 * Runs the command line of the measurement tool.
 *
 * @param argv - Arguments of the process.
 */
export async function runCommandLine(argv: readonly string[]): Promise<void> {
  const program = new Command('sapphireglade-measure').description(
    'Measures a deployment of stand-ins and proxies on this machine.',
  );
  for (const experiment of EXPERIMENTS) addExperiment(program, experiment);
  addReport(program);
  await program.parseAsync(argv);
}

function addExperiment(program: Command, experiment: Experiment): void {
  program
    .command(experiment.name)
    .description(experiment.description)
    .requiredOption('--deployment <file>', 'file with the deployment (JSON)')
    .option('--seed <number>', 'seed of all random choices', parseNumber, 1)
    .option(
      '--step-ms <number>',
      'length of each step, in milliseconds',
      parseNumber,
      DEFAULT_STEP_MS,
    )
    .option(
      '--repetitions <number>',
      'number of rounds, such as faults or changes',
      parseNumber,
      DEFAULT_REPETITIONS,
    )
    .option('--out <file>', 'file to write the result to (JSON)')
    .option('--page <file>', 'file to write the result to (HTML)')
    .action(async (options: ExperimentOptions) => {
      const result = await runFromOptions(experiment, options);
      printFigures(result);
      const {out, page} = options;
      if (out !== undefined) {
        writeFileSync(out, `${JSON.stringify(result, null, 2)}\n`);
      }
      if (page !== undefined) writeFileSync(page, formatHtmlReport(result));
    });
}

function addReport(program: Command): void {
  program
    .command('report')
    .description(
      'Writes an HTML page with one result, or with two side by side.',
    )
    .argument('<first>', 'result, or the earlier one of two')
    .argument('[second]', 'later result')
    .requiredOption('--page <file>', 'file to write the page to')
    .action((first: string, second: string | undefined, options) => {
      const {page} = options as {page: string};
      const after = second === undefined ? undefined : readResult(second);
      writeFileSync(page, formatHtmlReport(readResult(first), after));
    });
}

function runFromOptions(
  experiment: Experiment,
  {deployment, seed, stepMs, repetitions}: ExperimentOptions,
): Promise<Measurement> {
  const logs = createLoggerFactory({
    level: LogLevel.Information,
    format: LogFormat.Text,
    process: 'measure',
  });
  const command = `sapphireglade-measure ${experiment.name} --deployment ${deployment} --seed ${seed} --step-ms ${stepMs} --repetitions ${repetitions}`;
  return runExperiment(
    experiment,
    {
      deployment: loadDeployment(deployment),
      random: createRandomSource(seed),
      log: logs(LogPart.Measure),
      load: {stepMs, repetitions},
    },
    {command, seed},
  );
}

function printFigures({figures}: Measurement): void {
  for (const {name, value, unit, bound} of figures) {
    const statedBound =
      bound === undefined ? '' : ` (stated: ${bound.relation} ${bound.value})`;
    console.log(
      `${name}: ${Math.round(value * 100) / 100} ${unit}${statedBound}`,
    );
  }
}

function readResult(path: string): Measurement {
  return measurementSchema.parse(JSON.parse(readFileSync(path, 'utf8')));
}

function parseNumber(text: string): number {
  const value = Number(text);
  if (Number.isFinite(value) && value >= 0) return value;
  throw new InvalidArgumentError('It must be a number of at least 0.');
}
