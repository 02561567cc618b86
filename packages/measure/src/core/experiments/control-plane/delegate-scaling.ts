import {setTimeout as sleep} from 'node:timers/promises';
import {rankDelegates} from '@sapphireglade/decisions';
import {
  Fleet,
  FLEET_PORTS,
  FleetOperatorClient,
  waitUntil,
} from '@sapphireglade/stand-ins';
import type {Deployment} from '@sapphireglade/stand-ins';
import {readProcessUsage} from '../../load/index.js';
import type {Figure} from '../../report/index.js';
import type {ExperimentContext, ExperimentResult} from '../experiment.js';
import {Experiment} from '../experiment.js';
import {FakeMember} from './fake-member.js';
import {fitLine} from './fit-line.js';

/** Numbers of members with which the delegate is measured. */
const MEMBER_COUNTS = [10, 40, 91, 160] as const;

/** Period over which the first reports are spread, in milliseconds. */
const FIRST_REPORT_SPREAD_MS = 2_000;

/** Delay between two changes of the configuration, in milliseconds. */
const CHANGE_INTERVAL_MS = 5_000;

/** Time allowed for the proxy to become delegate, in milliseconds. */
const ROLE_TIMEOUT_MS = 20_000;

const MS_PER_SECOND = 1_000;

/** Result of one step. */
interface ScalingPoint {
  readonly members: number;
  /** Processor time, in milliseconds per second. */
  readonly processorMs: number;
  readonly residentMegabytes: number;
  /** Bytes per second on the links to members, in both directions. */
  readonly bytes: number;
  /** Calls to the store per second. */
  readonly storeCalls: number;
}

/** Measures the resources that a real delegate uses per member of its zone. */
export class DelegateScaling extends Experiment {
  readonly name = 'delegate-slope';
  readonly description =
    'Measures one real delegate before 10 to 160 small fake members.';

  async run(context: ExperimentContext): Promise<ExperimentResult> {
    const points: ScalingPoint[] = [];
    for (const members of MEMBER_COUNTS) {
      const point = await measureStep(context, members);
      context.log.info('A step is measured.', {...point});
      points.push(point);
    }
    return {
      figures: points
        .flatMap(createPointFigures)
        .concat(createFitFigures(points)),
      series: [],
      notes: [
        'One real proxy is alone in its zone and holds the lease; fake members report every 2 s and pull one change every 5 s.',
        'Links are idle otherwise, so their pings count.',
      ],
    };
  }
}

/** Measures the delegate with a number of members. */
async function measureStep(
  {deployment, load}: ExperimentContext,
  count: number,
): Promise<ScalingPoint> {
  const fleet = await Fleet.start({deployment: reduceToSingleVm(deployment)});
  const operator = new FleetOperatorClient(
    fleet.proxyOrigin(onlyVmName(fleet), 'operator'),
  );
  const members = createFakeMembers(fleet, count);
  try {
    await publishMembers(
      fleet,
      members.map(({name}) => name),
    );
    await waitUntilDelegate(operator, onlyVmName(fleet));
    members.forEach(({member}, index) =>
      member.start((index * FIRST_REPORT_SPREAD_MS) / count),
    );
    await sleep(2 * FIRST_REPORT_SPREAD_MS);
    return await measureLoad(fleet, operator, members, load.stepMs);
  } finally {
    for (const {member} of members) member.stop();
    await operator.close();
    await fleet.stop();
  }
}

async function measureLoad(
  fleet: Fleet,
  operator: FleetOperatorClient,
  members: readonly NamedFakeMember[],
  stepMs: number,
): Promise<ScalingPoint> {
  const {pid} = fleet.process(onlyVmName(fleet));
  if (pid === undefined) throw new Error('The delegate is not running.');
  const before = readProcessUsage(pid);
  const bytesBefore = sumBytes(members);
  const callsBefore = await countCalls(fleet);
  const startedAtMs = performance.now();
  while (performance.now() - startedAtMs < stepMs) {
    await changeCallerWeight(fleet, operator);
    await sleep(CHANGE_INTERVAL_MS);
  }
  const seconds = (performance.now() - startedAtMs) / MS_PER_SECOND;
  const after = readProcessUsage(pid);
  const calls = (await countCalls(fleet)) - callsBefore;
  return {
    members: members.length,
    processorMs: (after.processorMs - before.processorMs) / seconds,
    residentMegabytes: after.residentMegabytes,
    bytes: (sumBytes(members) - bytesBefore) / seconds,
    storeCalls: calls / seconds,
  };
}

/** Fake member with its name. */
interface NamedFakeMember {
  readonly name: string;
  readonly member: FakeMember;
}

/** Creates members whose names rank after that of the delegate. */
function createFakeMembers(fleet: Fleet, count: number): NamedFakeMember[] {
  const [vm] = fleet.plan.vms;
  if (vm === undefined) throw new Error('The deployment has no VM.');
  const members: NamedFakeMember[] = [];
  for (let index = 0; members.length < count; index += 1) {
    const name = `fake-${index}`;
    if (rankDelegates(vm.zone, [vm.name, name])[0] !== vm.name) continue;
    const {zone, address} = vm;
    const port = FLEET_PORTS.peer;
    const member = new FakeMember({name, zone, address, port});
    members.push({name, member});
  }
  return members;
}

/** Publishes the members in the platform's VM list, after the real VM. */
async function publishMembers(
  fleet: Fleet,
  names: readonly string[],
): Promise<void> {
  const real = fleet.plan.vms.map(vm => ({
    name: vm.name,
    zone: vm.zone,
    region: vm.region,
    address: vm.publishedAddress,
    state: 'live',
  }));
  const fakes = names.map(name => ({...real[0], name}));
  await fleet.vmListControl.post('/vms', {vms: [...real, ...fakes]});
}

async function waitUntilDelegate(
  operator: FleetOperatorClient,
  vm: string,
): Promise<void> {
  await waitUntil(
    'The proxy is the delegate',
    async () => {
      const {inForce} = await operator.watch(0, 0);
      return inForce.some(({delegate}) => delegate === vm);
    },
    ROLE_TIMEOUT_MS,
  );
}

async function changeCallerWeight(
  fleet: Fleet,
  operator: FleetOperatorClient,
): Promise<void> {
  const name = fleet.plan.deployment.callers[0]?.name ?? '';
  const {resource, version} = await operator.get('caller', name);
  if (resource.kind !== 'caller') return;
  const weight = resource.weight === 1 ? 2 : 1;
  await operator.put({...resource, weight}, version);
}

async function countCalls(fleet: Fleet): Promise<number> {
  const {byPath} = (await fleet.storeControl.get('/calls')) as {
    byPath: Record<string, number>;
  };
  return Object.values(byPath).reduce((sum, calls) => sum + calls, 0);
}

function sumBytes(members: readonly NamedFakeMember[]): number {
  return members.reduce((sum, {member}) => sum + member.bytes, 0);
}

/** Reduces a deployment to its first VM, group and caller. */
function reduceToSingleVm(deployment: Deployment): Deployment {
  return {
    ...deployment,
    vms: deployment.vms.slice(0, 1),
    groups: deployment.groups.slice(0, 1),
    callers: deployment.callers.slice(0, 1),
  };
}

function onlyVmName(fleet: Fleet): string {
  return fleet.vms[0] ?? '';
}

function createPointFigures(point: ScalingPoint): Figure[] {
  const at = `${point.members} members`;
  return [
    {name: `${at}: processor`, value: point.processorMs, unit: 'ms/s'},
    {name: `${at}: memory`, value: point.residentMegabytes, unit: 'MB'},
    {name: `${at}: links`, value: point.bytes, unit: 'B/s'},
    {name: `${at}: store`, value: point.storeCalls, unit: 'calls/s'},
  ];
}

function createFitFigures(points: readonly ScalingPoint[]): Figure[] {
  const measures = [
    {name: 'processor', unit: 'ms/s', read: (p: ScalingPoint) => p.processorMs},
    {
      name: 'memory',
      unit: 'MB',
      read: (p: ScalingPoint) => p.residentMegabytes,
    },
    {name: 'links', unit: 'B/s', read: (p: ScalingPoint) => p.bytes},
    {name: 'store', unit: 'calls/s', read: (p: ScalingPoint) => p.storeCalls},
  ];
  return measures.flatMap(({name, unit, read}) => {
    const fit = fitLine(points.map(point => [point.members, read(point)]));
    return [
      {name: `${name}: base`, value: fit.intercept, unit},
      {name: `${name}: for each member`, value: fit.slope, unit},
      {name: `${name}: largest residual`, value: fit.largestResidual, unit},
    ];
  });
}
