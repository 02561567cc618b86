import {readFileSync} from 'node:fs';
import {ExitCode, OperatorClient, CommandError} from '../client/index.js';
import type {OperatorConsole} from '../output/index.js';
import {OutputFormat} from '../output/index.js';

/** Options of every command. */
export interface GlobalOptions {
  readonly proxy?: string;
  readonly operator?: string;
  readonly keyFile?: string;
  readonly output?: string;
}

/** Context in which a command runs. */
export interface CommandContext {
  readonly client: OperatorClient;
  readonly console: OperatorConsole;
  readonly output: OutputFormat;
}

/** Environment variables used for missing options. */
export const EnvironmentVariable = {
  Proxy: 'SAPPHIREGLADE_PROXY',
  Operator: 'SAPPHIREGLADE_OPERATOR',
  Key: 'SAPPHIREGLADE_OPERATOR_KEY',
} as const;

/**
 * Creates the context of a command from options and environment variables.
 *
 * @throws CommandError that names a missing or invalid value.
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

/** Prints a result in the selected output format. */
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

/** Creates an error for wrong arguments. */
export function createUsageError(message: string, hint: string): CommandError {
  return new CommandError(ExitCode.Usage, message, hint);
}

/**
 * Splits a reference such as `kind/name`.
 *
 * @param reference - Reference with one slash.
 * @param form - Expected form, for the error message.
 */
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

/** Reads a text file; the error says why it cannot be read. */
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
    `--proxy "${text}" is not an HTTP address.`,
    'Give the operator port of a proxy, for example http://10.1.0.1:8081.',
  );
}

function parseOutputFormat(text: string | undefined): OutputFormat {
  return text === OutputFormat.Json ? OutputFormat.Json : OutputFormat.Table;
}
