import {setTimeout as sleep} from 'node:timers/promises';
import {Fleet, FleetOperatorClient, waitUntil} from '@sapphireglade/stand-ins';
import {LatencyRecorder} from '../load/index.js';
import {BoundRelation} from '../report/index.js';
import type {ExperimentContext, ExperimentResult} from './experiment.js';
import {Experiment} from './experiment.js';
import {warmUp} from './warm-up.js';

/** Stated bound on the time until a change is in force, in milliseconds. */
const PROPAGATION_BOUND_MS = 10_000;

/** Longest wait for a change at one proxy, in milliseconds. */
const WATCH_TIMEOUT_MS = 30_000;

/** Delay between two changes, in milliseconds. */
const CHANGE_INTERVAL_MS = 200;

/** Time allowed for the operator port to respond, in milliseconds. */
const OPERATOR_TIMEOUT_MS = 20_000;

/** Measures the time from accepting a change until all proxies have it. */
export class ConfigurationPropagation extends Experiment {
  readonly name = 'in-force';
  readonly description =
    'Measures the time from an accepted change until every proxy has it.';

  async run(context: ExperimentContext): Promise<ExperimentResult> {
    const fleet = await Fleet.start({
      deployment: context.deployment,
      usesRelay: true,
    });
    const operators = fleet.vms.map(
      vm => new FleetOperatorClient(fleet.proxyOrigin(vm, 'operator')),
    );
    try {
      await warmUp(fleet, 1);
      return await measure(context, operators);
    } finally {
      await Promise.all(operators.map(operator => operator.close()));
      await fleet.stop();
    }
  }
}

async function measure(
  {deployment, load, log}: ExperimentContext,
  operators: readonly FleetOperatorClient[],
): Promise<ExperimentResult> {
  const caller = deployment.callers[0]?.name ?? '';
  const acceptTimes = new LatencyRecorder();
  const spreadTimes = new LatencyRecorder();
  const points: Array<[number, number]> = [];
  for (let round = 1; round <= load.repetitions; round += 1) {
    const operator = operators[round % operators.length];
    if (operator === undefined) throw new Error('There is no proxy.');
    const times = await measureChange(operator, operators, caller);
    acceptTimes.record(times.acceptMs);
    spreadTimes.record(times.spreadMs);
    points.push([round, times.spreadMs]);
    log.info('A change is in force.', {round, ...times});
    await sleep(CHANGE_INTERVAL_MS);
  }
  const spread = spreadTimes.summary();
  return {
    figures: [
      {
        name: 'accepted to in force everywhere, p50',
        value: spread.p50Ms,
        unit: 'ms',
      },
      {
        name: 'accepted to in force everywhere, p95',
        value: spread.p95Ms,
        unit: 'ms',
      },
      {
        name: 'accepted to in force everywhere, maximum',
        value: spread.maximumMs,
        unit: 'ms',
        bound: {relation: BoundRelation.AtMost, value: PROPAGATION_BOUND_MS},
      },
      {
        name: 'request to accepted, p50',
        value: acceptTimes.summary().p50Ms,
        unit: 'ms',
      },
      {
        name: 'request to accepted, p95',
        value: acceptTimes.summary().p95Ms,
        unit: 'ms',
      },
      {name: 'changes', value: spread.count, unit: ''},
    ],
    series: [
      {
        name: 'Accepted to in force everywhere',
        xLabel: 'change',
        yLabel: 'ms',
        points,
      },
    ],
    notes: [
      'A caller changes its weight through each proxy in turn; a watch at every proxy says when it has the change.',
    ],
  };
}

/** Changes the weight of a caller and waits until every proxy has it. */
async function measureChange(
  operator: FleetOperatorClient,
  operators: readonly FleetOperatorClient[],
  caller: string,
): Promise<{acceptMs: number; spreadMs: number}> {
  const current = await readCaller(operator, caller);
  const watches = operators.map(async watcher => {
    await watcher.watch(current.revision, WATCH_TIMEOUT_MS);
    return performance.now();
  });
  const startedAt = performance.now();
  const {resource, version} = current;
  if (resource.kind !== 'caller')
    throw new Error('The resource is not a caller.');
  const weight = resource.weight === 1 ? 2 : 1;
  await operator.put({...resource, weight}, version);
  const acceptedAt = performance.now();
  const lastAt = Math.max(...(await Promise.all(watches)));
  return {
    acceptMs: acceptedAt - startedAt,
    spreadMs: Math.max(0, lastAt - acceptedAt),
  };
}

async function readCaller(
  operator: FleetOperatorClient,
  caller: string,
): Promise<Awaited<ReturnType<FleetOperatorClient['get']>>> {
  let response: Awaited<ReturnType<FleetOperatorClient['get']>> | undefined;
  await waitUntil(
    'The operator port responds',
    async () => {
      response = await operator.get('caller', caller);
      return true;
    },
    OPERATOR_TIMEOUT_MS,
  );
  if (response === undefined) throw new Error('The caller does not exist.');
  return response;
}
