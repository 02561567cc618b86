/** Launcher that runs a whole deployment as separate processes. */
export * from './caller-client.js';
export * from './hash-key.js';
export * from './control-client.js';
export * from './deployment-schema.js';
export * from './fleet.js';
export * from './load-deployment.js';
export type {FleetPlan, PlannedInstance, PlannedProcess} from './fleet-plan.js';
export {callerLocationName, FLEET_PORTS, planFleet} from './fleet-plan.js';
export * from './fleet-folder.js';
export {FleetProcess} from './fleet-process.js';
export {
  createResources,
  FLEET_OPERATOR,
  accessKeyFor,
} from './fleet-resources.js';
export {listVms} from './fleet-settings.js';
export * from './loopback-network.js';
export * from './fleet-operator-client.js';
export * from './process-reaper.js';
export * from './seed-configuration.js';
export * from './wait-until.js';
