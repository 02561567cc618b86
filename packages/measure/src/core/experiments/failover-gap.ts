import {setTimeout as sleep} from 'node:timers/promises';
import {Outcome} from '@sapphireglade/decisions';
import type {Fleet, Violation} from '@sapphireglade/stand-ins';
import {
  checkHistory,
  collectInstanceHistories,
  waitUntil,
} from '@sapphireglade/stand-ins';
import {LatencyRecorder} from '../load/index.js';
import type {Figure} from '../report/index.js';
import {BoundRelation} from '../report/index.js';
import {BookingLoad} from './booking-load.js';
import type {ExperimentContext, ExperimentResult} from './experiment.js';
import {Experiment} from './experiment.js';
import {waitForStableGroup} from './group-stability.js';
import type {PrimaryFault, PrimaryIdentity} from './primary-faults.js';
import {warmUp} from './warm-up.js';
import {withFleet} from './with-fleet.js';

const BOOKINGS_PER_SECOND = 100;
const DEADLINE_MS = 2_000;
const SOCKETS = 64;

/** Delay before each fault, in milliseconds. */
const PRE_FAULT_DELAY_MS = 1_500;

/** Time allowed until a group acknowledges again, in milliseconds. */
const RECOVERY_TIMEOUT_MS = 30_000;

/** Stated bounds on the gap, in milliseconds. */
const MAXIMUM_GAP_MS = 8_000;
const FAULT_P95_MS = 2_000;
const PLANNED_P95_MS = 200;

/** Measures the gap in acknowledgements when a group loses its primary. */
export class FailoverGap extends Experiment {
  readonly name: string;
  readonly description: string;

  /** @param fault - Fault of the primary. */
  constructor(private readonly fault: PrimaryFault) {
    super();
    this.name = `failover-${fault.name}`;
    this.description = `Measures the failover gap. ${fault.description}`;
  }

  async run(context: ExperimentContext): Promise<ExperimentResult> {
    const {deployment} = context;
    return withFleet({deployment, usesRelay: true}, fleet =>
      this.measure(context, fleet),
    );
  }

  private async measure(
    context: ExperimentContext,
    fleet: Fleet,
  ): Promise<ExperimentResult> {
    const clients = [...(await warmUp(fleet, SOCKETS)).values()];
    const group = context.deployment.groups[0]?.name ?? '';
    const load = new BookingLoad({
      clients,
      group,
      ratePerSecond: BOOKINGS_PER_SECOND,
      deadlineMs: DEADLINE_MS,
      random: context.random,
    });
    const gaps: number[] = [];
    for (let round = 1; round <= context.load.repetitions; round += 1) {
      const gap = await this.runRound(fleet, group, load);
      gaps.push(gap);
      context.log.info('A round is done.', {round, gapMs: Math.round(gap)});
    }
    await load.stop();
    await waitForStableGroup(fleet, group);
    return createResult(
      this.fault,
      gaps,
      load,
      await findViolations(fleet, group, load),
    );
  }

  /** Injects the fault once and returns the gap, in milliseconds. */
  private async runRound(
    fleet: Fleet,
    group: string,
    load: BookingLoad,
  ): Promise<number> {
    await waitForStableGroup(fleet, group);
    await sleep(PRE_FAULT_DELAY_MS);
    const primary = await waitForStableGroup(fleet, group);
    await this.fault.inject(fleet, primary);
    try {
      return await waitForGap(primary, load);
    } finally {
      await this.fault.revert(fleet, primary);
    }
  }
}

/** Waits for the first acknowledgement of a later term and returns the gap. */
async function waitForGap(
  primary: PrimaryIdentity,
  load: BookingLoad,
): Promise<number> {
  await waitUntil(
    `${primary.group} acknowledges after term ${primary.term}`,
    () => load.firstAfterTerm(primary.term) !== undefined,
    RECOVERY_TIMEOUT_MS,
  );
  const first = load.firstAfterTerm(primary.term);
  const last = load.lastInTerm(primary.term);
  if (first === undefined || last === undefined) {
    throw new Error('There was no acknowledgement before the fault.');
  }
  return Math.max(0, first.at - last.at);
}

async function findViolations(
  fleet: Fleet,
  group: string,
  {recorder}: BookingLoad,
): Promise<Violation[]> {
  const instances = await collectInstanceHistories(fleet);
  return checkHistory({
    writes: recorder.writes,
    reads: recorder.reads,
    instances: instances.filter(instance => instance.group === group),
  });
}

function createResult(
  fault: PrimaryFault,
  gaps: readonly number[],
  {recorder}: BookingLoad,
  violations: readonly Violation[],
): ExperimentResult {
  const gapTimes = new LatencyRecorder();
  for (const gap of gaps) gapTimes.record(gap);
  const {p50Ms, p95Ms, maximumMs} = gapTimes.summary();
  const isPlanned = fault.name === 'planned-stop';
  const p95BoundMs = isPlanned ? PLANNED_P95_MS : FAULT_P95_MS;
  return {
    figures: [
      {name: 'gap, p50', value: p50Ms, unit: 'ms'},
      {
        name: 'gap, p95',
        value: p95Ms,
        unit: 'ms',
        bound: {relation: BoundRelation.AtMost, value: p95BoundMs},
      },
      {
        name: 'gap, maximum',
        value: maximumMs,
        unit: 'ms',
        bound: {relation: BoundRelation.AtMost, value: MAXIMUM_GAP_MS},
      },
      {name: 'changes of primary', value: gaps.length, unit: ''},
      ...countOutcomes(recorder.writes),
      {
        name: 'violations of the history',
        value: violations.length,
        unit: '',
        bound: {relation: BoundRelation.AtMost, value: 0},
      },
    ],
    series: [
      {
        name: 'Gap by round',
        xLabel: 'round',
        yLabel: 'ms',
        points: gaps.map((gap, index) => [index + 1, gap]),
      },
    ],
    notes: [
      `${fault.description} ${BOOKINGS_PER_SECOND} bookings a second through all proxies and the relay, deadline ${DEADLINE_MS} ms; the gap is the time from the last acknowledgement of the old term to the first of a later one.`,
      ...violations
        .slice(0, 20)
        .map(({kind, key, details}) => `${kind}: ${key}. ${details}`),
    ],
  };
}

function countOutcomes(writes: BookingLoad['recorder']['writes']): Figure[] {
  return Object.values(Outcome).map(outcome => ({
    name: `bookings ${outcome}`,
    value: writes.filter(write => write.outcome === outcome).length,
    unit: '',
  }));
}
