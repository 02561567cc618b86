import {instanceStatusSchema} from '@sapphireglade/protocol';
import type {InstanceStatus} from '@sapphireglade/protocol';
import type {Fleet} from '@sapphireglade/stand-ins';
import {waitUntil} from '@sapphireglade/stand-ins';
import type {PrimaryIdentity} from './primary-faults.js';

/** How long a group may take to be whole again, in milliseconds. */
const STABILIZATION_TIMEOUT_MS = 30_000;

/** How many entries a replica may be behind in a group that is whole. */
const MAXIMUM_LAG_ENTRIES = 20;

/**
 * Waits until a group has one primary that all other instances follow.
 *
 * @returns The primary.
 */
export async function waitForStableGroup(
  fleet: Fleet,
  group: string,
): Promise<PrimaryIdentity> {
  let primary: PrimaryIdentity | undefined;
  await waitUntil(
    `${group} is whole`,
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
  const planned = fleet.plan.instances.filter(one => one.group === group);
  return Promise.all(
    planned.map(async ({name}) => {
      const control = fleet.instanceControl(group, name);
      return instanceStatusSchema.parse(await control.get('/status'));
    }),
  );
}

/** The primary, if every instance is of its term and close to its position. */
function findStablePrimary(
  statuses: readonly InstanceStatus[],
): PrimaryIdentity | undefined {
  const highest = Math.max(...statuses.map(({grantedTerm}) => grantedTerm));
  const primary = statuses.find(
    ({role, term}) => role === 'primary' && term === highest,
  );
  if (primary === undefined) return undefined;
  const isWhole = statuses.every(
    ({term, position}) =>
      term === highest &&
      position.term === highest &&
      primary.position.position - position.position <= MAXIMUM_LAG_ENTRIES,
  );
  if (!isWhole) return undefined;
  const {group, instance, term} = primary;
  return {group, instance, term};
}
