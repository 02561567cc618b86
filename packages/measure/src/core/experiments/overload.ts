import {Outcome} from '@sapphireglade/decisions';
import type {CallerClient} from '@sapphireglade/stand-ins';
import {LatencyRecorder, runOpenLoop} from '../load/index.js';
import type {Figure} from '../report/index.js';
import {BoundRelation} from '../report/index.js';
import type {ExperimentContext, ExperimentResult} from './experiment.js';
import {Experiment} from './experiment.js';
import type {WarmFleet} from './with-fleet.js';
import {withWarmFleet} from './with-fleet.js';

/** Offered load in percent of the capacity of the slots. */
const LEVELS = [50, 90, 150, 300];

/** Time for which a statement occupies a slot, in milliseconds. */
const SERVICE_MS = 20;

/** Deadline of a request, in milliseconds; later responses don't count. */
const DEADLINE_MS = 1_000;

/** Time at the start of a step that is not recorded, in milliseconds. */
const WARM_UP_MS = 2_000;

/** Stated bound on the goodput at the highest level, in percent of the peak. */
const GOODPUT_BOUND_PERCENT = 95;

const MS_PER_SECOND = 1_000;
const SOCKETS = 400;

/** Result of one load level. */
interface LevelResult {
  readonly percent: number;
  readonly offered: number;
  readonly goodput: number;
  readonly refused: number;
  readonly failed: number;
  readonly p50Ms: number;
  readonly p99Ms: number;
}

/** Measures goodput and latency under more load than the slots can carry. */
export class Overload extends Experiment {
  readonly name = 'overload';
  readonly description =
    'Offers 50, 90, 150 and 300% of what the slots of a group can carry.';

  async run(context: ExperimentContext): Promise<ExperimentResult> {
    return withWarmFleet(context, SOCKETS, warm => measure(context, warm));
  }
}

async function measure(
  context: ExperimentContext,
  {fleet, clients, group}: WarmFleet,
): Promise<ExperimentResult> {
  const slots = group.instances.reduce(
    (sum, instance) => sum + instance.slots,
    0,
  );
  for (const {name} of group.instances) {
    const control = fleet.instanceControl(group.name, name);
    await control.put('/tuning', {readServiceMs: SERVICE_MS});
  }
  const capacity = (slots * MS_PER_SECOND) / SERVICE_MS;
  const results: LevelResult[] = [];
  for (const percent of LEVELS) {
    const rate = (capacity * percent) / 100;
    const result = await runLevel(context, clients, group.name, rate);
    results.push({...result, percent});
    context.log.info('A level is done.', {...result, percent});
  }
  return createResult(results, capacity);
}

async function runLevel(
  {random, load}: ExperimentContext,
  clients: readonly CallerClient[],
  group: string,
  ratePerSecond: number,
): Promise<Omit<LevelResult, 'percent'>> {
  const recorder = new LatencyRecorder();
  const recordFrom = performance.now() + WARM_UP_MS;
  const recordUntil = recordFrom + load.stepMs;
  let answeredInTime = 0;
  let refused = 0;
  let failed = 0;
  let offered = 0;
  const send = async (index: number): Promise<void> => {
    const startedAt = performance.now();
    const client = clients[index % clients.length];
    const outcome = await sendRead(client, group);
    const endedAt = performance.now();
    if (startedAt < recordFrom || startedAt >= recordUntil) return;
    offered += 1;
    if (outcome === Outcome.NotRun) refused += 1;
    else if (outcome !== Outcome.Done) failed += 1;
    else if (endedAt - startedAt <= DEADLINE_MS) answeredInTime += 1;
    if (outcome === Outcome.Done) recorder.record(endedAt - startedAt);
  };
  const durationMs = WARM_UP_MS + load.stepMs;
  await runOpenLoop({ratePerSecond, durationMs, random, send});
  const seconds = load.stepMs / MS_PER_SECOND;
  const {p50Ms, p99Ms} = recorder.summary();
  return {
    offered: offered / seconds,
    goodput: answeredInTime / seconds,
    refused: refused / seconds,
    failed: failed / seconds,
    p50Ms,
    p99Ms,
  };
}

async function sendRead(
  client: CallerClient | undefined,
  group: string,
): Promise<Outcome> {
  try {
    const result = await client?.run({
      group,
      sql: 'SELECT * FROM bookings WHERE id = ?',
      parameters: ['none'],
      access: 'read',
      idempotent: true,
      allowedAgeMs: 10_000,
      deadlineMs: DEADLINE_MS,
    });
    return result?.answer.outcome ?? Outcome.Unknown;
  } catch {
    return Outcome.Unknown;
  }
}

function createResult(
  results: readonly LevelResult[],
  capacity: number,
): ExperimentResult {
  const peak = Math.max(...results.map(({goodput}) => goodput));
  const last = results.at(-1);
  const ratio = peak === 0 ? 0 : ((last?.goodput ?? 0) / peak) * 100;
  return {
    figures: [
      {
        name: 'goodput at 300%, of the peak',
        value: ratio,
        unit: '%',
        bound: {
          relation: BoundRelation.AtLeast,
          value: GOODPUT_BOUND_PERCENT,
        },
      },
      {name: 'what the slots can carry', value: capacity, unit: '/s'},
      ...results.flatMap(listFigures),
    ],
    series: [
      {
        name: 'Goodput by offered load',
        xLabel: 'offered, % of what the slots can carry',
        yLabel: 'answers in time a second',
        points: results.map(({percent, goodput}) => [percent, goodput]),
      },
      {
        name: 'p99 of answered reads by offered load',
        xLabel: 'offered, % of what the slots can carry',
        yLabel: 'ms',
        points: results.map(({percent, p99Ms}) => [percent, p99Ms]),
      },
    ],
    notes: [
      `Reads of one group that take a slot for ${SERVICE_MS} ms, through all proxies and the relay, deadline ${DEADLINE_MS} ms, callers do not retry.`,
    ],
  };
}

function listFigures(result: LevelResult): Figure[] {
  const at = `at ${result.percent}%`;
  return [
    {name: `offered ${at}`, value: result.offered, unit: '/s'},
    {name: `goodput ${at}`, value: result.goodput, unit: '/s'},
    {name: `refused, not run ${at}`, value: result.refused, unit: '/s'},
    {name: `other outcomes ${at}`, value: result.failed, unit: '/s'},
    ...listLatencies(result, at),
  ];
}

/** Lists the latencies of a level; none if no request was answered. */
function listLatencies({p50Ms, p99Ms}: LevelResult, at: string): Figure[] {
  if (p50Ms === 0) return [];
  return [
    {name: `p50 ${at}`, value: p50Ms, unit: 'ms'},
    {name: `p99 ${at}`, value: p99Ms, unit: 'ms'},
  ];
}
