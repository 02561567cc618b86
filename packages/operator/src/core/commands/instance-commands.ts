import {setTimeout as sleep} from 'node:timers/promises';
import type {GroupResource} from '@sapphireglade/decisions';
import {ErrorKind} from '@sapphireglade/decisions';
import {ExitCode, createLocalError, CommandError} from '../client/index.js';
import type {CommandContext} from './command-context.js';
import {printResult, splitReference} from './command-context.js';
import type {ChangeOptions} from './resource-commands.js';
import {
  applyResource,
  requireResource,
  reportChanges,
} from './resource-commands.js';

/** Interval between status polls, in milliseconds. */
const POLL_INTERVAL_MS = 200;

/** Default timeout for a change of primary, in seconds. */
const DEFAULT_TIMEOUT_SECONDS = 30;

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of `drain`. */
export interface DrainOptions extends ChangeOptions {
  readonly stop?: boolean;
  readonly undo?: boolean;
}

/** `drain`: marks an instance as leaving, stopping or active again. */
export async function drainInstance(
  context: CommandContext,
  reference: string,
  options: DrainOptions,
): Promise<void> {
  const [groupName, instanceName] = splitReference(reference, 'GROUP/INSTANCE');
  const group = await findGroup(context, groupName);
  assertInstanceExists(group, instanceName);
  const state = drainState(options);
  const instances = group.instances.map(instance =>
    instance.name === instanceName ? {...instance, state} : instance,
  );
  const body = {...group, instances};
  const applied = await applyResource(context, body, options);
  await reportChanges(context, [applied], options);
}

/** `promote`: requests a change of primary. */
export async function promoteInstance(
  context: CommandContext,
  reference: string,
  options: ChangeOptions,
): Promise<void> {
  const [groupName, target] = splitReference(reference, 'GROUP/INSTANCE');
  assertInstanceExists(await findGroup(context, groupName), target);
  const body = {kind: 'promotion', name: groupName, target};
  const applied = await applyResource(context, body, options);
  await reportChanges(context, [applied], {...options, wait: false});
  if (options.wait !== true || options.dryRun === true) return;
  await waitForPrimary(context, groupName, target, options.timeout);
}

/** Waits until the proxy reports the instance as primary. */
async function waitForPrimary(
  context: CommandContext,
  groupName: string,
  target: string,
  timeoutSeconds = DEFAULT_TIMEOUT_SECONDS,
): Promise<void> {
  const endMs = performance.now() + timeoutSeconds * MILLISECONDS_PER_SECOND;
  while (performance.now() < endMs) {
    const {groups} = await context.client.status();
    const group = groups.find(({name}) => name === groupName);
    if (group?.primary === target) {
      printResult(context, group, () => [
        `${target} is primary of ${groupName} in term ${group.term ?? '-'}.`,
      ]);
      return;
    }
    await sleep(POLL_INTERVAL_MS);
  }
  throw new CommandError(
    ExitCode.TimedOut,
    `${target} has not become primary of ${groupName} in time.`,
    `Run "timeline --group ${groupName}" to see which step the change of primary has reached.`,
  );
}

async function findGroup(
  context: CommandContext,
  name: string,
): Promise<GroupResource> {
  const {resource} = await requireResource(context, 'group', name);
  if (resource.kind === 'group') return resource;
  throw createLocalError(ErrorKind.NotFound, `There is no group ${name}.`);
}

function assertInstanceExists(group: GroupResource, name: string): void {
  const names = group.instances.map(instance => instance.name);
  if (names.includes(name)) return;
  throw createLocalError(
    ErrorKind.NotFound,
    `The group ${group.name} has no instance ${name}; it has ${names.join(', ')}.`,
  );
}

function drainState({
  stop,
  undo,
}: DrainOptions): 'active' | 'leaving' | 'stopping' {
  if (undo === true) return 'active';
  return stop === true ? 'stopping' : 'leaving';
}
