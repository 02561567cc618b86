import type {Resource} from '@sapphireglade/decisions';
import {hashKey} from './hash-key.js';
import type {FleetPlan} from './fleet-plan.js';
import {FLEET_PORTS} from './fleet-plan.js';

/** Name of the operator in the settings of every proxy of a fleet. */
export const FLEET_OPERATOR = 'operator-1';

/** Returns the access key of a caller or an operator of a fleet. */
export function accessKeyFor(name: string): string {
  return `key-of-${name}`;
}

/** Creates the resources of the groups and callers of a fleet. */
export function createResources(plan: FleetPlan): Resource[] {
  const {groups, callers} = plan.deployment;
  return [
    ...groups.map(group =>
      createGroupResource(plan, group.name, group.allowedAgeMs),
    ),
    ...callers.map(({name, grants, weight}) => ({
      kind: 'caller' as const,
      name,
      ...hashKey(accessKeyFor(name)),
      grants,
      weight,
    })),
  ];
}

function createGroupResource(
  plan: FleetPlan,
  name: string,
  allowedAgeMs: number,
): Resource {
  const instances = plan.instances.filter(({group}) => group === name);
  return {
    kind: 'group',
    name,
    allowedAgeMs,
    instances: instances.map(instance => ({
      name: instance.name,
      zone: instance.zone,
      address: instance.publishedAddress,
      port: FLEET_PORTS.service,
      slots: instance.slots,
      connectionLimit: instance.connectionLimit,
      state: 'active',
    })),
  };
}
