import {setTimeout as sleep} from 'node:timers/promises';
import {Outcome} from '@sapphireglade/decisions';
import type {Fleet} from '@sapphireglade/stand-ins';
import {BoundRelation} from '../report/index.js';
import {BookingLoad} from './booking-load.js';
import type {ExperimentContext, ExperimentResult} from './experiment.js';
import {Experiment} from './experiment.js';
import {readStatuses, waitForStableGroup} from './group-stability.js';
import {warmUp} from './warm-up.js';
import {withFleet} from './with-fleet.js';

const LATENCY_FACTOR = 10;
const JITTER_MS = 20;
const BOOKINGS_PER_SECOND = 20;
const DEADLINE_MS = 2_000;
const SOCKETS = 32;

/** Counts changes of primary while all latencies are ten times as long. */
export class LatencyNoise extends Experiment {
  readonly name = 'latency-noise';
  readonly description =
    'Counts needless changes of primary at ten times the latency.';

  async run(context: ExperimentContext): Promise<ExperimentResult> {
    const {deployment} = context;
    return withFleet({deployment, usesRelay: true}, fleet =>
      measure(context, fleet),
    );
  }
}

async function measure(
  {deployment, random, load: {stepMs}}: ExperimentContext,
  fleet: Fleet,
): Promise<ExperimentResult> {
  const clients = [...(await warmUp(fleet, SOCKETS)).values()];
  const group = deployment.groups[0]?.name ?? '';
  const before = await waitForStableGroup(fleet, group);
  await fleet.relayControl.put('/conditions', {
    latencyFactor: LATENCY_FACTOR,
    jitterMs: JITTER_MS,
  });
  const load = new BookingLoad({
    clients,
    group,
    ratePerSecond: BOOKINGS_PER_SECOND,
    deadlineMs: DEADLINE_MS,
    random,
  });
  await sleep(stepMs);
  await load.stop();
  const statuses = await readStatuses(fleet, group);
  const highestTerm = Math.max(...statuses.map(({grantedTerm}) => grantedTerm));
  const {writes} = load.recorder;
  const done = writes.filter(({outcome}) => outcome === Outcome.Done).length;
  return {
    figures: [
      {
        name: 'needless changes of primary',
        value: highestTerm - before.term,
        unit: '',
        bound: {relation: BoundRelation.AtMost, value: 0},
      },
      {name: 'time', value: stepMs / 1_000, unit: 's'},
      {name: 'bookings', value: writes.length, unit: ''},
      {name: 'bookings done', value: done, unit: ''},
    ],
    series: [],
    notes: [
      `Every latency times ${LATENCY_FACTOR} and up to ${JITTER_MS} ms more at random.`,
    ],
  };
}
