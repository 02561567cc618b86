import {setTimeout as sleep} from 'node:timers/promises';
import type {ZoneConfigurationStatus} from '@sapphireglade/protocol';
import {ExitCode, CommandError} from '../client/index.js';
import {formatTable} from '../output/index.js';
import type {CommandContext} from './command-context.js';
import {printResult, createUsageError} from './command-context.js';

/** Interval between status polls, in milliseconds. */
const POLL_INTERVAL_MS = 250;

/** Default timeout, in seconds. */
const DEFAULT_TIMEOUT_SECONDS = 60;

const MILLISECONDS_PER_SECOND = 1_000;

/** Options of `watch`. */
export interface WatchOptions {
  readonly revision?: number;
  readonly timeout?: number;
}

/** `watch`: waits until a revision is in force in every zone. */
export async function watchRevision(
  context: CommandContext,
  options: WatchOptions,
): Promise<void> {
  const revision = options.revision ?? (await context.client.list()).revision;
  if (!Number.isInteger(revision)) {
    throw createUsageError('--revision is not a whole number.', 'See --help.');
  }
  await waitUntilApplied(context, revision, options.timeout);
}

/**
 * Waits until every availability zone applies a revision.
 *
 * @param context - Context of the command.
 * @param revision - Revision to wait for.
 * @param timeoutSeconds - Longest wait, in seconds.
 * @throws CommandError with exit code 7 that names the zones still missing.
 */
export async function waitUntilApplied(
  context: CommandContext,
  revision: number,
  timeoutSeconds = DEFAULT_TIMEOUT_SECONDS,
): Promise<void> {
  const startMs = performance.now();
  const endMs = startMs + timeoutSeconds * MILLISECONDS_PER_SECOND;
  for (;;) {
    const {zones} = await context.client.status();
    const missing = zones.filter(zone => !isApplied(zone, revision));
    if (missing.length === 0) {
      printAppliedRevision(
        context,
        zones,
        revision,
        performance.now() - startMs,
      );
      return;
    }
    if (performance.now() >= endMs)
      throw createNotAppliedError(missing, revision);
    await sleep(POLL_INTERVAL_MS);
  }
}

function isApplied(zone: ZoneConfigurationStatus, revision: number): boolean {
  const isCurrent = zone.revision !== null && zone.revision >= revision;
  return isCurrent && zone.unconfirmedSince === null;
}

function printAppliedRevision(
  context: CommandContext,
  zones: readonly ZoneConfigurationStatus[],
  revision: number,
  waitedMs: number,
): void {
  const result = {revision, inForce: zones, waitedMs: Math.round(waitedMs)};
  printResult(context, result, () => [
    `Revision ${revision} is in force in every zone (waited ${result.waitedMs} ms).`,
    ...formatTable(
      ['ZONE', 'IN FORCE', 'MEMBERS'],
      zones.map(zone => [zone.zone, zone.revision, zone.members]),
    ),
  ]);
}

function createNotAppliedError(
  missing: readonly ZoneConfigurationStatus[],
  revision: number,
): CommandError {
  const zones = missing
    .map(({zone, revision: applied, unconfirmedSince}) => {
      const since =
        unconfirmedSince === null
          ? ''
          : `, unconfirmed since ${unconfirmedSince}`;
      return `${zone} (revision ${applied ?? 'unknown'}${since})`;
    })
    .join(', ');
  return new CommandError(
    ExitCode.TimedOut,
    `Revision ${revision} is accepted, but not known to be in force in ${zones}.`,
    'The change is not lost: a disconnected zone applies it when it reconnects. Run "status" to see its members.',
  );
}
