import type {
  CallerClient,
  DeploymentGroup,
  FleetOptions,
} from '@sapphireglade/stand-ins';
import {Fleet} from '@sapphireglade/stand-ins';
import type {ExperimentContext} from './experiment.js';
import {warmUp} from './warm-up.js';

/** A fleet that serves, and what load is put on it. */
export interface WarmFleet {
  readonly fleet: Fleet;
  /** A client of each proxy. */
  readonly clients: readonly CallerClient[];
  /** The group that is measured: the first one of the deployment. */
  readonly group: DeploymentGroup;
}

/**
 * Starts a fleet, does something with it and ends every process of it,
 * whatever happens.
 */
export async function withFleet<Result>(
  options: FleetOptions,
  action: (fleet: Fleet) => Promise<Result>,
): Promise<Result> {
  const fleet = await Fleet.start(options);
  try {
    return await action(fleet);
  } finally {
    await fleet.stop();
  }
}

/**
 * Starts a fleet whose links can be harmed, and measures it once every proxy
 * serves.
 *
 * @param context - The deployment.
 * @param sockets - Most sockets of each client.
 * @param measure - What is measured.
 * @throws Error if the deployment has no group.
 */
export function withWarmFleet<Result>(
  {deployment}: ExperimentContext,
  sockets: number,
  measure: (warm: WarmFleet) => Promise<Result>,
): Promise<Result> {
  return withFleet({deployment, usesRelay: true}, async fleet => {
    const clients = [...(await warmUp(fleet, sockets)).values()];
    const [group] = deployment.groups;
    if (group === undefined) throw new Error('There is no group.');
    return measure({fleet, clients, group});
  });
}
