import {formatStatus} from '../output/index.js';
import type {CommandContext} from './command-context.js';
import {printResult} from './command-context.js';

/** `status`: shows the groups, zones and members reported by one proxy. */
export async function showStatus(context: CommandContext): Promise<void> {
  const status = await context.client.status();
  printResult(context, status, () => formatStatus(status));
}
