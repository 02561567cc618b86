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
  /** Measured group: the first one of the deployment. */
  readonly group: DeploymentGroup;
}

/**
 * Starts a fleet, runs an action with it and stops all its processes, even if
 * the action fails.
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
 * Starts a fleet with a relay, in which faults can be injected, and measures it
 * once every proxy serves reads.
 *
 * @param context - Context with the deployment.
 * @param sockets - Maximum number of sockets per client.
 * @param measure - Measurement to run.
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
    if (group === undefined) throw new Error('The deployment has no group.');
    return measure({fleet, clients, group});
  });
}
