import type {InstanceSettings} from '../instance/index.js';
import type {StoreSettings} from '../store/index.js';
import type {VmListSettings} from '../vm-list/index.js';
import {hashKey} from './hash-key.js';
import type {FleetPlan, PlannedInstance, PlannedProcess} from './fleet-plan.js';
import {FLEET_PORTS} from './fleet-plan.js';
import {FLEET_OPERATOR, accessKeyFor} from './fleet-resources.js';

/** Secret that authenticates the session tokens of a fleet. */
const SESSION_SECRET = 'a-secret-that-all-proxies-of-a-test-share';

/** Settings of a stand-in in which fields other than addresses are optional. */
type SettingsInput<Settings> = Partial<Settings> &
  Pick<Settings, Extract<keyof Settings, 'address' | 'port' | 'controlPort'>>;

/** Creates the settings of an instance. */
export function createInstanceSettings(
  plan: FleetPlan,
  instance: PlannedInstance,
): SettingsInput<InstanceSettings> {
  const {group, name, slots, connectionLimit} = instance;
  const members = plan.instances.filter(each => each.group === group);
  const [first] = members;
  const isPrimary = first === undefined || first.name === name;
  return {
    group,
    instance: name,
    ...listenSettings(instance),
    slots,
    connectionLimit,
    openMs: plan.deployment.openMs,
    voters: members.map(member => member.name),
    primary: isPrimary
      ? undefined
      : {
          instance: first.name,
          address: first.publishedAddress,
          port: FLEET_PORTS.service,
        },
  };
}

/** Creates the settings of the store. */
export function createStoreSettings(
  plan: FleetPlan,
): SettingsInput<StoreSettings> {
  return listenSettings(plan.store);
}

/** Creates the settings of the VM list. */
export function createVmListSettings(
  plan: FleetPlan,
): SettingsInput<VmListSettings> {
  return {...listenSettings(plan.vmList), vms: listVms(plan)};
}

/** Returns the VMs in the form of the platform's list. */
export function listVms(plan: FleetPlan): VmListSettings['vms'] {
  return plan.vms.map(({name, zone, region, publishedAddress}) => ({
    name,
    zone,
    region,
    address: publishedAddress,
    state: 'live',
  }));
}

/** Creates the settings of a proxy. */
export function createProxySettings(
  plan: FleetPlan,
  vm: PlannedProcess,
): unknown {
  return {
    vm: vm.name,
    zone: vm.zone,
    region: vm.region,
    address: vm.address,
    callerPort: FLEET_PORTS.caller,
    operatorPort: FLEET_PORTS.operator,
    peerPort: FLEET_PORTS.peer,
    platform: {
      storeUrl: buildOrigin(plan.store.publishedAddress, FLEET_PORTS.service),
      vmListUrl: buildOrigin(plan.vmList.publishedAddress, FLEET_PORTS.service),
    },
    sessionSecrets: [SESSION_SECRET],
    operators: [
      {name: FLEET_OPERATOR, ...hashKey(accessKeyFor(FLEET_OPERATOR))},
    ],
  };
}

/** Builds the HTTP origin of an address and port. */
export function buildOrigin(address: string, port: number): string {
  return `http://${address}:${port}`;
}

function listenSettings({address}: PlannedProcess): {
  address: string;
  port: number;
  controlPort: number;
} {
  const {service, control} = FLEET_PORTS;
  return {address, port: service, controlPort: control};
}
