import {Outcome} from '@sapphireglade/decisions';
import type {
  CallerClient,
  CallerResult,
  DeploymentGroup,
  Fleet,
  InstanceHistory,
} from '@sapphireglade/stand-ins';
import {collectInstanceHistories} from '@sapphireglade/stand-ins';
import {runOpenLoop} from '../load/index.js';
import type {Figure, Series} from '../report/index.js';
import type {ExperimentContext, ExperimentResult} from './experiment.js';
import {Experiment} from './experiment.js';
import {countIdealReplicaReads} from './ideal-replica-reads.js';
import type {ReadCounts, ReplicaReadStep} from './replica-read-figures.js';
import {
  listFigures,
  createNotes,
  percentOfReads,
} from './replica-read-figures.js';
import type {WarmFleet} from './with-fleet.js';
import {withWarmFleet} from './with-fleet.js';

/** Lag of a stuck replica, in milliseconds. */
const STUCK_LAG_MS = 600_000;

/** Lags of the replicas, in milliseconds, one for each replica. */
const LAG_CASES = [
  {name: 'lag 50 ms', lags: [50, 50]},
  {name: 'lag 500 ms', lags: [500, 500]},
  {name: 'lag 5 s', lags: [5_000, 5_000]},
  {name: 'lag 50 ms, one replica stuck', lags: [50, STUCK_LAG_MS]},
];

/** Percentages of reads that follow a write of the same session. */
const OWN_WRITE_PERCENTS = [0, 10, 50];

const READS_PER_SECOND = 100;
const BACKGROUND_WRITES_PER_SECOND = 10;
const DEADLINE_MS = 2_000;
const SOCKETS = 64;

/** Measures the share of reads that replicas serve. */
export class ReplicaReads extends Experiment {
  readonly name = 'replica-reads';
  readonly description =
    'Counts the reads that replicas serve, at lags and shares of own writes.';

  async run(context: ExperimentContext): Promise<ExperimentResult> {
    return withWarmFleet(context, SOCKETS, warm => measure(context, warm));
  }
}

async function measure(
  context: ExperimentContext,
  {fleet, clients, group}: WarmFleet,
): Promise<ExperimentResult> {
  const figures: Figure[] = [];
  const series: Series[] = [];
  let lastTerm = 1;
  for (const {name: caseName, lags} of LAG_CASES) {
    const points: Series['points'] = [];
    await setLags(fleet, group, lags);
    const lagsSince = Date.now();
    for (const ownWritePercent of OWN_WRITE_PERCENTS) {
      const step = {caseName, lags, ownWritePercent};
      const counts = await runStep(context, clients, group, step);
      const {entries, term} = await readPrimary(fleet, group.name);
      const {allowedAgeMs} = group;
      const possible = countIdealReplicaReads(counts.timedReads, {
        entries,
        lags,
        lagsSince,
        allowedAgeMs,
      });
      figures.push(...listFigures(step, counts, {possible, allowedAgeMs}));
      lastTerm = term;
      points.push([
        ownWritePercent,
        percentOfReads(counts.replicaReads, counts),
      ]);
      context.log.info('A step is done.', {
        case: caseName,
        ownWritePercent,
        reads: counts.reads,
        replicaReads: counts.replicaReads,
        possible,
      });
    }
    series.push({
      name: `Replica reads, ${caseName}`,
      xLabel: 'reads that follow an own write, %',
      yLabel: 'served by replicas, %',
      points,
    });
  }
  const rates = {
    reads: READS_PER_SECOND,
    writes: BACKGROUND_WRITES_PER_SECOND,
  };
  figures.push({name: 'changes of primary', value: lastTerm - 1, unit: ''});
  return {figures, series, notes: createNotes(group, rates)};
}

/** Returns the primary of the highest term with its log. */
async function readPrimary(
  fleet: Fleet,
  group: string,
): Promise<InstanceHistory> {
  const instances = await collectInstanceHistories(fleet);
  const primary = instances
    .filter(instance => instance.group === group && instance.role === 'primary')
    .sort((left, right) => left.term - right.term)
    .at(-1);
  if (primary === undefined) throw new Error('The group has no primary.');
  return primary;
}

async function setLags(
  fleet: Fleet,
  group: DeploymentGroup,
  lags: readonly number[],
): Promise<void> {
  const replicas = group.instances.slice(1);
  for (const [index, {name}] of replicas.entries()) {
    const control = fleet.instanceControl(group.name, name);
    await control.put('/tuning', {replicationLagMs: lags[index] ?? 0});
  }
}

async function runStep(
  {random, load}: ExperimentContext,
  clients: readonly CallerClient[],
  group: DeploymentGroup,
  step: ReplicaReadStep,
): Promise<ReadCounts> {
  const counts: ReadCounts = {
    reads: 0,
    replicaReads: 0,
    timedReads: [],
    failures: 0,
    staleReads: 0,
  };
  const prefix = `${step.caseName} ${step.ownWritePercent}`;
  const clientOf = (index: number): CallerClient => {
    const client = clients[index % clients.length];
    if (client === undefined) throw new Error('There is no client.');
    return client;
  };
  const writing = runOpenLoop({
    ratePerSecond: BACKGROUND_WRITES_PER_SECOND,
    durationMs: load.stepMs,
    random,
    send: async index => {
      const key = `${prefix} background ${index}`;
      await writeBooking(clientOf(index), group.name, key);
    },
  });
  const reading = runOpenLoop({
    ratePerSecond: READS_PER_SECOND,
    durationMs: load.stepMs,
    random,
    send: index => {
      const followsOwnWrite = random() * 100 < step.ownWritePercent;
      const key = followsOwnWrite ? `${prefix} ${index}` : undefined;
      return readOnce(clientOf(index), group, key, counts);
    },
  });
  await Promise.all([writing, reading]);
  return counts;
}

/** Reads, after writing a booking if a key is given, and counts the result. */
async function readOnce(
  client: CallerClient,
  group: DeploymentGroup,
  key: string | undefined,
  counts: ReadCounts,
): Promise<void> {
  const written =
    key === undefined ? undefined : await writeBooking(client, group.name, key);
  const at = Date.now();
  const readResult = await ignoreErrors(() =>
    client.run(
      {
        group: group.name,
        sql: 'SELECT * FROM bookings WHERE id = ?',
        parameters: [key ?? 'none'],
        access: 'read',
        idempotent: true,
        deadlineMs: DEADLINE_MS,
      },
      written?.session,
    ),
  );
  if (readResult?.answer.outcome !== Outcome.Done) {
    counts.failures += 1;
    return;
  }
  counts.reads += 1;
  if (readResult.answer.servedBy.role === 'replica') counts.replicaReads += 1;
  if (written !== undefined && readResult.answer.rowCount === 0) {
    counts.staleReads += 1;
  }
  counts.timedReads.push({at, ownKey: written && key});
}

async function writeBooking(
  client: CallerClient,
  group: string,
  key: string,
): Promise<CallerResult | undefined> {
  const result = await ignoreErrors(() =>
    client.run({
      group,
      sql: 'INSERT INTO bookings (id, state) VALUES (?, ?)',
      parameters: [key, 'booked'],
      access: 'write',
      deadlineMs: DEADLINE_MS,
    }),
  );
  return result?.answer.outcome === Outcome.Done ? result : undefined;
}

async function ignoreErrors<Result>(
  action: () => Promise<Result>,
): Promise<Result | undefined> {
  try {
    return await action();
  } catch {
    return undefined;
  }
}
