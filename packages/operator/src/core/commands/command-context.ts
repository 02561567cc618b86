import {readFileSync} from 'node:fs';
import {ExitCode, OperatorClient, CommandError} from '../client/index.js';
import type {OperatorConsole} from '../output/index.js';
import {OutputFormat} from '../output/index.js';

/** Options that every command takes. */
export interface GlobalOptions {
  readonly proxy?: string;
  readonly operator?: string;
  readonly keyFile?: string;
  readonly output?: string;
}

/** What a command works with. */
export interface CommandContext {
  readonly client: OperatorClient;
  readonly console: OperatorConsole;
  readonly output: OutputFormat;
}

/** Environment variables that stand in for options. */
export const EnvironmentVariable = {
  Proxy: 'SAPPHIREGLADE_PROXY',
  Operator: 'SAPPHIREGLADE_OPERATOR',
  Key: 'SAPPHIREGLADE_OPERATOR_KEY',
} as const;

/**
 * Makes what a command works with from options and environment.
 *
 * @throws OperatorFailure that names what is missing.
 */
export function createCommandContext(
  options: GlobalOptions,
  console: OperatorConsole,
): CommandContext {
  const {environment} = console;
  const origin = options.proxy ?? environment[EnvironmentVariable.Proxy];
  const operator =
    options.operator ?? environment[EnvironmentVariable.Operator];
  const client = new OperatorClient({
    origin: parseOrigin(
      requireValue(origin, '--proxy', EnvironmentVariable.Proxy),
    ),
    operator: requireValue(
      operator,
      '--operator',
      EnvironmentVariable.Operator,
    ),
    key: readKey(options, console),
  });
  return {client, console, output: parseOutputFormat(options.output)};
}

/** Prints a result in the chosen format. */
export function printResult(
  {console, output}: CommandContext,
  value: unknown,
  toLines: () => readonly string[],
): void {
  if (output === OutputFormat.Json) {
    console.print(JSON.stringify(value, null, 2));
    return;
  }
  for (const line of toLines()) console.print(line);
}

/** Makes a failure for wrong arguments. */
export function createUsageError(message: string, hint: string): CommandError {
  return new CommandError(ExitCode.Usage, message, hint);
}

/** Splits `kind/name`. */
export function splitReference(
  reference: string,
  form: string,
): [string, string] {
  const [first, second, ...rest] = reference.split('/');
  if (first && second && rest.length === 0) return [first, second];
  throw createUsageError(
    `"${reference}" is not of the form ${form}.`,
    'See the examples in --help.',
  );
}

function readKey(options: GlobalOptions, console: OperatorConsole): string {
  if (options.keyFile !== undefined) {
    return readTextFile(options.keyFile).trim();
  }
  const key = console.environment[EnvironmentVariable.Key];
  return requireValue(key, '--key-file', EnvironmentVariable.Key);
}

/** Reads a file, or says why it cannot be read. */
export function readTextFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (error) {
    throw createUsageError(
      `The file ${path} cannot be read (${(error as Error).message}).`,
      'Check the path and its permissions.',
    );
  }
}

function requireValue(
  value: string | undefined,
  option: string,
  variable: string,
): string {
  if (value !== undefined && value !== '') return value;
  throw createUsageError(
    `${option} is missing.`,
    `Give ${option} or set ${variable}.`,
  );
}

function parseOrigin(text: string): string {
  const url = URL.canParse(text) ? new URL(text) : undefined;
  if (url !== undefined && url.protocol.startsWith('http')) return url.origin;
  throw createUsageError(
    `--proxy "${text}" is not an address.`,
    'Give the operator port of a proxy, for example http://10.1.0.1:8081.',
  );
}

function parseOutputFormat(text: string | undefined): OutputFormat {
  return text === OutputFormat.Json ? OutputFormat.Json : OutputFormat.Table;
}
