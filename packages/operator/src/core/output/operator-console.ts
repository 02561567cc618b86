import {text as readText} from 'node:stream/consumers';

/** Input, output and environment of commands. */
export interface OperatorConsole {
  /** Writes a line to standard output. */
  print(line: string): void;
  /** Writes a line to standard error. */
  printError(line: string): void;
  /** Reads standard input to its end. */
  readInput(): Promise<string>;
  /** Environment variables. */
  readonly environment: Readonly<Record<string, string | undefined>>;
}

/** Output formats of results. */
export const OutputFormat = {
  /** Tables for people. */
  Table: 'table',
  /** One JSON document for programs. */
  Json: 'json',
} as const;

/** Output format of results. */
export type OutputFormat = (typeof OutputFormat)[keyof typeof OutputFormat];

/** Creates a console with the streams and environment of this process. */
export function createProcessConsole(): OperatorConsole {
  return {
    print: line => process.stdout.write(`${line}\n`),
    printError: line => process.stderr.write(`${line}\n`),
    readInput: () => readText(process.stdin),
    environment: process.env,
  };
}
