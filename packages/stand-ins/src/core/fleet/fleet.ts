import {fileURLToPath} from 'node:url';
import {request} from 'undici';
import {CallerClient} from './caller-client.js';
import {ControlClient} from './control-client.js';
import type {Deployment} from './deployment-schema.js';
import {createFleetFolder, removeFleetFolder} from './fleet-folder.js';
import {FleetProcess} from './fleet-process.js';
import type {FleetPlan, PlannedInstance, PlannedProcess} from './fleet-plan.js';
import {FLEET_PORTS, planFleet} from './fleet-plan.js';
import {createResources, accessKeyFor} from './fleet-resources.js';
import {
  createInstanceSettings,
  buildOrigin,
  createProxySettings,
  createStoreSettings,
  createVmListSettings,
} from './fleet-settings.js';
import {LoopbackNetwork} from './loopback-network.js';
import {ProcessReaper} from './process-reaper.js';
import {STAND_INS_PROGRAM_PATH} from './program-paths.js';
import {seedConfiguration} from './seed-configuration.js';
import {waitUntil} from './wait-until.js';

const PROXY_PROGRAM_PATH = fileURLToPath(
  new URL('../../../../../proxy/bin/sapphireglade.js', import.meta.url),
);

/** Time allowed for a process to become ready, in milliseconds. */
const READY_TIMEOUT_MS = 20_000;

/** Options of {@link Fleet.start}. */
export interface FleetOptions {
  readonly deployment: Deployment;
  /** Whether traffic passes through the relay; false if left out. */
  readonly usesRelay?: boolean;
  /** Whether settings and logs are kept after the stop; false if left out. */
  readonly keepsFolder?: boolean;
  /** Node.js options for the proxies. */
  readonly proxyNodeOptions?: readonly string[];
}

/**
 * Deployment running as separate processes on this machine: instances, store,
 * VM list, proxies and optionally the relay between their zones.
 */
export class Fleet {
  private readonly processes = new Map<string, FleetProcess>();
  private readonly clients: CallerClient[] = [];
  private readonly processReaper = new ProcessReaper();

  private constructor(
    readonly plan: FleetPlan,
    private readonly network: LoopbackNetwork,
    private readonly options: FleetOptions,
    /** Folder for the settings and logs. */
    readonly folder: string,
  ) {}

  /** Starts every process and waits until all proxies are ready. */
  static async start(options: FleetOptions): Promise<Fleet> {
    const network = await LoopbackNetwork.reserve();
    const usesRelay = options.usesRelay ?? false;
    const plan = planFleet(options.deployment, network, usesRelay);
    const folder = createFleetFolder('sapphireglade-');
    const fleet = new Fleet(plan, network, options, folder);
    try {
      await fleet.startPlatform();
      await fleet.startProxies();
      return fleet;
    } catch (error) {
      await fleet.stop();
      throw error;
    }
  }

  /** Names of the VMs that run proxies. */
  get vms(): string[] {
    return this.plan.vms.map(({name}) => name);
  }

  /** Returns a process: a VM, `group/instance`, `store`, `vm-list` or `relay`. */
  process(name: string): FleetProcess {
    const found = this.processes.get(name);
    if (found === undefined) throw new Error(`There is no process ${name}.`);
    return found;
  }

  /** Returns all processes in start order. */
  listProcesses(): readonly FleetProcess[] {
    return [...this.processes.values()];
  }

  /** Returns a client of the control port of an instance. */
  instanceControl(group: string, instance: string): ControlClient {
    const planned = this.plan.instances.find(
      candidate => candidate.group === group && candidate.name === instance,
    );
    return createControlClient(planned, instance);
  }

  /** Client of the control port of the store. */
  get storeControl(): ControlClient {
    return createControlClient(this.plan.store, 'store');
  }

  /** Client of the control port of the VM list. */
  get vmListControl(): ControlClient {
    return createControlClient(this.plan.vmList, 'vm-list');
  }

  /** Client of the control port of the relay. */
  get relayControl(): ControlClient {
    const {relay} = this.plan;
    if (relay === undefined) throw new Error('The fleet has no relay.');
    return new ControlClient(buildOrigin(relay.address, relay.controlPort));
  }

  /**
   * Creates a client of a proxy that connects from the proxy's zone.
   *
   * @param vm - Name of the proxy's VM.
   * @param caller - Name of the caller; the deployment's first if left out.
   * @param sockets - Maximum number of sockets.
   */
  client(vm: string, caller?: string, sockets?: number): CallerClient {
    const planned = this.findVm(vm);
    const zones = this.plan.deployment.zones.map(({name}) => name);
    const zone = zones.indexOf(planned.zone) + 1;
    const name = caller ?? this.plan.deployment.callers[0]?.name ?? '';
    const client = new CallerClient({
      origin: buildOrigin(planned.publishedAddress, FLEET_PORTS.caller),
      localAddress: this.network.callerAddress(zone, 1),
      caller: name,
      key: accessKeyFor(name),
      sockets,
    });
    this.clients.push(client);
    return client;
  }

  /** Returns the origin of a port of a proxy, bypassing the relay. */
  proxyOrigin(vm: string, port: keyof typeof FLEET_PORTS): string {
    return buildOrigin(this.findVm(vm).address, FLEET_PORTS[port]);
  }

  /** Waits until a proxy is ready for requests. */
  async waitUntilReady(vm: string): Promise<void> {
    const origin = this.proxyOrigin(vm, 'caller');
    await this.waitUntilHealthy(vm, `${vm} is ready`, `${origin}/readyz`);
  }

  /** Kills all processes and removes settings and logs unless they are kept. */
  async stop(): Promise<void> {
    await Promise.all(this.clients.map(client => client.close()));
    await Promise.all([...this.processes.values()].map(child => child.kill()));
    this.processReaper.close();
    this.network.release();
    if (this.options.keepsFolder === true) return;
    removeFleetFolder(this.folder);
  }

  private async startPlatform(): Promise<void> {
    const {plan} = this;
    if (plan.relay !== undefined) this.startStandIn('relay', plan.relay);
    this.startStandIn('store', createStoreSettings(plan));
    this.startStandIn('vm-list', createVmListSettings(plan));
    for (const instance of plan.instances) {
      const settings = createInstanceSettings(plan, instance);
      this.startStandIn('instance', settings, processNameOf(instance));
    }
    await Promise.all([
      this.waitForStandIn('store', plan.store),
      this.waitForStandIn('vm-list', plan.vmList),
      ...plan.instances.map(instance =>
        this.waitForStandIn(processNameOf(instance), instance),
      ),
    ]);
    await seedConfiguration(
      buildOrigin(plan.store.address, FLEET_PORTS.service),
      createResources(plan),
    );
  }

  private async waitForStandIn(
    name: string,
    planned: PlannedProcess,
  ): Promise<void> {
    const origin = buildOrigin(planned.address, FLEET_PORTS.control);
    await this.waitUntilHealthy(name, `${name} is up`, `${origin}/faults`);
  }

  /** Waits until a process responds; the error includes the end of its log. */
  private async waitUntilHealthy(
    name: string,
    what: string,
    url: string,
  ): Promise<void> {
    try {
      await waitUntil(what, () => isHealthy(url), READY_TIMEOUT_MS);
    } catch (error) {
      const log = this.process(name).readLog();
      throw new Error(`${(error as Error).message}\n${log}`, {cause: error});
    }
  }

  private async startProxies(): Promise<void> {
    for (const vm of this.plan.vms) {
      this.startProcess({
        name: vm.name,
        program: PROXY_PROGRAM_PATH,
        command: 'run',
        settings: createProxySettings(this.plan, vm),
        nodeOptions: this.options.proxyNodeOptions,
      });
    }
    await Promise.all(this.vms.map(vm => this.waitUntilReady(vm)));
  }

  private startStandIn(
    command: string,
    settings: unknown,
    name: string = command,
  ): void {
    this.startProcess({
      name,
      program: STAND_INS_PROGRAM_PATH,
      command,
      settings,
    });
  }

  private startProcess(specification: {
    name: string;
    program: string;
    command: string;
    settings: unknown;
    nodeOptions?: readonly string[];
  }): void {
    const {folder} = this;
    const launched = new FleetProcess({...specification, folder}, (pid, runs) =>
      this.processReaper.report(pid, runs),
    );
    this.processes.set(specification.name, launched);
    launched.start();
  }

  private findVm(name: string): PlannedProcess {
    const planned = this.plan.vms.find(vm => vm.name === name);
    if (planned === undefined) throw new Error(`There is no VM ${name}.`);
    return planned;
  }
}

/** Returns the process name of an instance. */
function processNameOf({group, name}: PlannedInstance): string {
  return `${group}/${name}`;
}

function createControlClient(
  planned: PlannedProcess | undefined,
  name: string,
): ControlClient {
  if (planned === undefined) throw new Error(`There is no process ${name}.`);
  return new ControlClient(buildOrigin(planned.address, FLEET_PORTS.control));
}

async function isHealthy(url: string): Promise<boolean> {
  const response = await request(url, {signal: AbortSignal.timeout(1_000)});
  await response.body.dump();
  return response.statusCode === 200;
}
