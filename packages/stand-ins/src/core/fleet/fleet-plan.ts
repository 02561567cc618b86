import type {RelaySettings} from '../relay/index.js';
import type {Deployment, DeploymentZone} from './deployment-schema.js';
import type {LoopbackNetwork} from './loopback-network.js';

const CALLER_PORT = 8_080;
const OPERATOR_PORT = 8_081;
const PEER_PORT = 8_082;
const SERVICE_PORT = 7_000;
const CONTROL_PORT = 7_001;

/** Last part of the IP address, by kind of process within a zone. */
const FIRST_VM_HOST = 1;
const FIRST_INSTANCE_HOST = 100;
const STORE_HOST = 240;
const VM_LIST_HOST = 241;
const RELAY_HOST = 2;

/** Process of a fleet with its addresses. */
export interface PlannedProcess {
  readonly name: string;
  readonly zone: string;
  readonly region: string;
  /** IP address on which it listens. */
  readonly address: string;
  /** IP address to which others connect; the relay's if there is one. */
  readonly publishedAddress: string;
}

/** Instance of a group with its addresses and limits. */
export interface PlannedInstance extends PlannedProcess {
  readonly group: string;
  readonly slots: number;
  readonly connectionLimit: number;
}

/** Addresses of every process of a fleet. */
export interface FleetPlan {
  readonly deployment: Deployment;
  readonly vms: readonly PlannedProcess[];
  readonly instances: readonly PlannedInstance[];
  readonly store: PlannedProcess;
  readonly vmList: PlannedProcess;
  /** Settings of the relay; undefined if processes connect directly. */
  readonly relay: RelaySettings | undefined;
}

/** Ports of the processes of a fleet. */
export const FLEET_PORTS = {
  caller: CALLER_PORT,
  operator: OPERATOR_PORT,
  peer: PEER_PORT,
  service: SERVICE_PORT,
  control: CONTROL_PORT,
} as const;

/**
 * Assigns addresses to every process of a deployment.
 *
 * @param deployment - Deployment to run.
 * @param network - Loopback network of the fleet.
 * @param usesRelay - Whether traffic goes through the relay.
 */
export function planFleet(
  deployment: Deployment,
  network: LoopbackNetwork,
  usesRelay: boolean,
): FleetPlan {
  const allocator = new AddressAllocator(deployment, network, usesRelay);
  const {platformZone} = deployment;
  const plan = {
    deployment,
    vms: deployment.vms.map(vm =>
      allocator.next(vm.name, vm.zone, FIRST_VM_HOST),
    ),
    instances: deployment.groups.flatMap(group =>
      group.instances.map(({name, zone, slots, connectionLimit}) => ({
        ...allocator.next(name, zone, FIRST_INSTANCE_HOST),
        group: group.name,
        slots,
        connectionLimit,
      })),
    ),
    store: allocator.assignAddress('store', platformZone, STORE_HOST),
    vmList: allocator.assignAddress('vm-list', platformZone, VM_LIST_HOST),
  };
  const relay = usesRelay ? planRelay(plan, network) : undefined;
  return {...plan, relay};
}

/** Assigns the addresses of each zone. */
class AddressAllocator {
  private readonly usedHosts = new Map<string, number>();

  constructor(
    private readonly deployment: Deployment,
    private readonly network: LoopbackNetwork,
    private readonly usesRelay: boolean,
  ) {}

  /** Assigns the next free address of a zone, starting at a host number. */
  next(name: string, zone: string, firstHost: number): PlannedProcess {
    const counter = `${zone} ${firstHost}`;
    const used = this.usedHosts.get(counter) ?? 0;
    this.usedHosts.set(counter, used + 1);
    return this.assignAddress(name, zone, firstHost + used);
  }

  /** Assigns the address with the given host number in a zone. */
  assignAddress(name: string, zone: string, host: number): PlannedProcess {
    const index = this.deployment.zones.findIndex(
      candidate => candidate.name === zone,
    );
    const found = this.deployment.zones[index];
    if (found === undefined) throw new Error(`There is no zone ${zone}.`);
    const address = this.network.address(index + 1, host);
    const publishedAddress = this.usesRelay
      ? this.network.publishedAddress(index + 1, host)
      : address;
    return {name, zone, region: found.region, address, publishedAddress};
  }
}

function planRelay(
  plan: Omit<FleetPlan, 'relay'>,
  network: LoopbackNetwork,
): RelaySettings {
  const {zones, network: conditions} = plan.deployment;
  const routes = [
    ...plan.vms.flatMap(vm => [
      createRoute(vm, CALLER_PORT),
      createRoute(vm, OPERATOR_PORT),
      createRoute(vm, PEER_PORT),
    ]),
    ...plan.instances.map(instance => createRoute(instance, SERVICE_PORT)),
    createRoute(plan.store, SERVICE_PORT),
    createRoute(plan.vmList, SERVICE_PORT),
  ];
  return {
    address: network.address(0, RELAY_HOST),
    controlPort: CONTROL_PORT,
    routes,
    places: zones.flatMap((zone, index) => [
      createLocation(zone.name, zone, network.address(index + 1, 0)),
      createLocation(
        callerLocationName(zone.name),
        zone,
        network.callerAddress(index + 1, 0),
      ),
    ]),
    latencies: listLatencies(plan.deployment),
    regionBytesPerSecond: conditions.regionBytesPerSecond,
    seed: 1,
  };
}

/** Returns the name of the network location of a zone's callers. */
export function callerLocationName(zone: string): string {
  return `callers-${zone}`;
}

function createRoute(
  {address, publishedAddress}: PlannedProcess,
  port: number,
): RelaySettings['routes'][number] {
  return {
    address: publishedAddress,
    port,
    targetAddress: address,
    targetPort: port,
  };
}

function createLocation(
  name: string,
  zone: DeploymentZone,
  address: string,
): RelaySettings['places'][number] {
  const prefix = address.slice(0, address.lastIndexOf('.'));
  return {name, region: zone.region, prefixes: [prefix]};
}

function listLatencies({
  zones,
  network,
}: Deployment): RelaySettings['latencies'] {
  return zones.flatMap((zone, index) => [
    {
      between: [zone.name, callerLocationName(zone.name)],
      oneWayMs: network.toCallersMs,
    },
    ...zones.slice(index + 1).flatMap(other => {
      const oneWayMs = latencyBetween(zone, other, network);
      const fromCallersMs = oneWayMs + network.toCallersMs;
      return [
        {between: createPair(zone.name, other.name), oneWayMs},
        {
          between: createPair(zone.name, callerLocationName(other.name)),
          oneWayMs: fromCallersMs,
        },
        {
          between: createPair(callerLocationName(zone.name), other.name),
          oneWayMs: fromCallersMs,
        },
      ];
    }),
  ]);
}

function createPair(left: string, right: string): [string, string] {
  return [left, right];
}

function latencyBetween(
  zone: DeploymentZone,
  other: DeploymentZone,
  network: Deployment['network'],
): number {
  return zone.region === other.region
    ? network.betweenZonesMs
    : network.betweenRegionsMs;
}
