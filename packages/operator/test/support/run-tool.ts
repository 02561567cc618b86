import type {ExitCode} from '../../src/index.js';
import {runOperator} from '../../src/index.js';
import {OPERATOR_KEY} from './fake-operator-api.js';

/** Output and exit code of a command. */
export interface ToolResult {
  readonly exitCode: ExitCode;
  readonly output: string;
  readonly errors: string;
}

/**
 * Runs a command of the tool in this process.
 *
 * @param origin - Origin of a proxy's operator port.
 * @param commandLine - Arguments of the command.
 * @param input - Standard input.
 * @param key - Access key of the operator.
 */
export async function runTool(
  origin: string,
  commandLine: readonly string[],
  input = '',
  key = OPERATOR_KEY,
): Promise<ToolResult> {
  const output: string[] = [];
  const errors: string[] = [];
  const exitCode = await runOperator(['node', 'tool', ...commandLine], {
    print: line => output.push(line),
    printError: line => errors.push(line),
    readInput: async () => input,
    environment: {
      SAPPHIREGLADE_PROXY: origin,
      SAPPHIREGLADE_OPERATOR: 'ops',
      SAPPHIREGLADE_OPERATOR_KEY: key,
    },
  });
  return {exitCode, output: output.join('\n'), errors: errors.join('\n')};
}
