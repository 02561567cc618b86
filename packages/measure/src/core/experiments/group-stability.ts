import {instanceStatusSchema} from '@sapphireglade/protocol';
import type {InstanceStatus} from '@sapphireglade/protocol';
import type {Fleet} from '@sapphireglade/stand-ins';
import {waitUntil} from '@sapphireglade/stand-ins';
import type {PrimaryIdentity} from './primary-faults.js';

/** Time allowed for a group to become stable again, in milliseconds. */
const STABILIZATION_TIMEOUT_MS = 30_000;

/** Largest lag of a replica in a stable group, in log entries. */
const MAXIMUM_LAG_ENTRIES = 20;

/**
 * Waits until a group has one primary that all other instances follow.
 *
 * @returns Primary of the group.
 */
export async function waitForStableGroup(
  fleet: Fleet,
  group: string,
): Promise<PrimaryIdentity> {
  let primary: PrimaryIdentity | undefined;
  await waitUntil(
    `${group} is stable`,
    async () => {
      primary = findStablePrimary(await readStatuses(fleet, group));
      return primary !== undefined;
    },
    STABILIZATION_TIMEOUT_MS,
  );
  if (primary === undefined) throw new Error('The group has no primary.');
  return primary;
}

/** Reads the status of every instance of a group. */
export async function readStatuses(
  fleet: Fleet,
  group: string,
): Promise<InstanceStatus[]> {
  const planned = fleet.plan.instances.filter(
    candidate => candidate.group === group,
  );
  return Promise.all(
    planned.map(async ({name}) => {
      const control = fleet.instanceControl(group, name);
      return instanceStatusSchema.parse(await control.get('/status'));
    }),
  );
}

/** Returns the primary if all instances have its term and a small lag. */
function findStablePrimary(
  statuses: readonly InstanceStatus[],
): PrimaryIdentity | undefined {
  const highestTerm = Math.max(...statuses.map(({grantedTerm}) => grantedTerm));
  const primary = statuses.find(
    ({role, term}) => role === 'primary' && term === highestTerm,
  );
  if (primary === undefined) return undefined;
  const isStable = statuses.every(
    ({term, position}) =>
      term === highestTerm &&
      position.term === highestTerm &&
      primary.position.position - position.position <= MAXIMUM_LAG_ENTRIES,
  );
  if (!isStable) return undefined;
  const {group, instance, term} = primary;
  return {group, instance, term};
}
