import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import type {Deployment, Fleet} from '@sapphireglade/stand-ins';
import {accessKeyFor} from '@sapphireglade/stand-ins';
import type {
  ConnectionWorkerOptions,
  ConnectionWorkerMessage,
} from '../load/index.js';
import {readProcessUsage} from '../load/index.js';
import {BoundRelation} from '../report/index.js';
import type {ExperimentContext, ExperimentResult} from './experiment.js';
import {Experiment} from './experiment.js';
import {warmUp} from './warm-up.js';
import {withFleet} from './with-fleet.js';

/** Open connections of callers per node at the target load. */
const CONNECTIONS = 3_750;

/** Stated bound: four times the statements per second of one node. */
const THROUGHPUT_BOUND = 4 * 1_063;

const WORKERS = 3;
const CONCURRENCY = 128;
const SLOTS = 1_000;
const CONNECTION_LIMIT = 200;

/** Delay before memory is read, so that it can settle, in milliseconds. */
const STABILIZATION_MS = 3_000;

const MS_PER_SECOND = 1_000;
const WORKER_FILE = new URL('../load/connection-worker.js', import.meta.url);

/** Measures throughput and memory of one proxy with many open connections. */
export class OpenConnections extends Experiment {
  readonly name = 'open-connections';
  readonly description =
    'Measures one proxy with 3,750 open connections of callers.';

  async run(context: ExperimentContext): Promise<ExperimentResult> {
    const deployment = reduceDeployment(context.deployment);
    return withFleet({deployment}, fleet => measure(context, fleet));
  }
}

/** Reduces a deployment to one proxy, with many slots at the instances. */
function reduceDeployment(deployment: Deployment): Deployment {
  const [vm] = deployment.vms;
  if (vm === undefined) throw new Error('The deployment has no VM.');
  return {
    ...deployment,
    vms: [vm],
    groups: deployment.groups.map(group => ({
      ...group,
      instances: group.instances.map(instance => ({
        ...instance,
        zone: vm.zone,
        slots: SLOTS,
        connectionLimit: CONNECTION_LIMIT,
      })),
    })),
  };
}

async function measure(
  {load, log}: ExperimentContext,
  fleet: Fleet,
): Promise<ExperimentResult> {
  const vm = fleet.vms[0] ?? '';
  await warmUp(fleet, 1);
  for (const {group, name} of fleet.plan.instances) {
    const control = fleet.instanceControl(group, name);
    await control.put('/tuning', {readServiceMs: 0});
  }
  const pid = fleet.process(vm).pid ?? 0;
  await sleep(STABILIZATION_MS);
  const idle = readProcessUsage(pid);
  const workers = startWorkers(fleet, vm, load.stepMs);
  await Promise.all(workers.map(nextMessage));
  await sleep(STABILIZATION_MS);
  const opened = readProcessUsage(pid);
  log.info('The connections are open.', {connections: CONNECTIONS});
  const startedAt = performance.now();
  for (const worker of workers) worker.postMessage('go');
  const results = await Promise.all(workers.map(nextMessage));
  const elapsedMs = performance.now() - startedAt;
  const loaded = readProcessUsage(pid);
  await Promise.all(workers.map(worker => worker.terminate()));
  const done = results.filter(result => result.type === 'done');
  const answered = done.reduce((sum, result) => sum + result.answered, 0);
  const processorMs = loaded.processorMs - opened.processorMs;
  return {
    figures: [
      {
        name: 'statements a second',
        value: (answered / elapsedMs) * MS_PER_SECOND,
        unit: '/s',
        bound: {relation: BoundRelation.AtLeast, value: THROUGHPUT_BOUND},
      },
      {name: 'open connections', value: CONNECTIONS, unit: ''},
      {
        name: 'failures',
        value: done.reduce((sum, result) => sum + result.failures, 0),
        unit: '',
      },
      {
        name: 'processor time a statement',
        value: processorMs / answered,
        unit: 'ms',
      },
      {
        name: 'processor use of the proxy',
        value: (processorMs / elapsedMs) * 100,
        unit: '%',
      },
      {
        name: 'p50',
        value: Math.max(...done.map(({summary}) => summary.p50Ms)),
        unit: 'ms',
      },
      {
        name: 'p99',
        value: Math.max(...done.map(({summary}) => summary.p99Ms)),
        unit: 'ms',
      },
      {name: 'memory before', value: idle.residentMegabytes, unit: 'MB'},
      {
        name: 'memory with all connections open',
        value: opened.residentMegabytes,
        unit: 'MB',
      },
      {
        name: 'memory under load',
        value: loaded.residentMegabytes,
        unit: 'MB',
      },
    ],
    series: [],
    notes: [
      `One proxy that owns every instance; ${WORKERS} threads of the load tool with ${CONCURRENCY} requests on their way each; reads that take no time at the instance; without the relay. Load, instances and proxy share one machine.`,
    ],
  };
}

function startWorkers(fleet: Fleet, vm: string, durationMs: number): Worker[] {
  const caller = fleet.plan.deployment.callers[0]?.name ?? '';
  const workerData: ConnectionWorkerOptions = {
    client: {
      origin: fleet.proxyOrigin(vm, 'caller'),
      caller,
      key: accessKeyFor(caller),
    },
    groups: fleet.plan.deployment.groups.map(({name}) => name),
    connections: CONNECTIONS / WORKERS,
    concurrency: CONCURRENCY,
    durationMs,
  };
  return Array.from(
    {length: WORKERS},
    () => new Worker(WORKER_FILE, {workerData}),
  );
}

async function nextMessage(worker: Worker): Promise<ConnectionWorkerMessage> {
  const [message] = (await once(worker, 'message')) as [
    ConnectionWorkerMessage,
  ];
  return message;
}
