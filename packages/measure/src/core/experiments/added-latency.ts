import type {CallerClient, Fleet} from '@sapphireglade/stand-ins';
import {FLEET_PORTS} from '@sapphireglade/stand-ins';
import {Client} from 'undici';
import type {LatencySummary} from '../load/index.js';
import {LatencyRecorder} from '../load/index.js';
import type {Figure} from '../report/index.js';
import {BoundRelation} from '../report/index.js';
import type {ExperimentContext, ExperimentResult} from './experiment.js';
import {Experiment} from './experiment.js';
import {warmUp} from './warm-up.js';
import {withFleet} from './with-fleet.js';

const SQL = 'SELECT * FROM bookings WHERE id = ?';

/** Requests over each path before the recording starts. */
const WARM_UP_REQUESTS = 300;

/** Stated bounds on the added latency at p50, in milliseconds. */
const ONE_HOP_BOUND_MS = 1;
const TWO_HOPS_BOUND_MS = 2;

/** Path from the load tool to an instance. */
interface RequestPath {
  readonly name: string;
  readonly send: () => Promise<void>;
  readonly recorder: LatencyRecorder;
}

/** Measures the latency that proxies add to a read over a direct connection. */
export class AddedLatency extends Experiment {
  readonly name = 'added-latency';
  readonly description =
    'Compares a read over one and two hops with a direct connection.';

  async run(context: ExperimentContext): Promise<ExperimentResult> {
    const {deployment, load} = context;
    return withFleet({deployment}, async fleet => {
      const paths = await createPaths(fleet);
      await sendRoundRobin(paths, WARM_UP_REQUESTS, false);
      const end = performance.now() + load.stepMs;
      while (performance.now() < end) await sendRoundRobin(paths, 100, true);
      return createResult(paths);
    });
  }
}

async function createPaths(fleet: Fleet): Promise<RequestPath[]> {
  const group = fleet.plan.deployment.groups[0]?.name ?? '';
  const clients = await warmUp(fleet, 1);
  const {owner, forwarder, instance} = await findOwnerAndForwarder(
    clients,
    group,
  );
  for (const {name} of fleet.plan.instances.filter(isInGroup(group))) {
    const control = fleet.instanceControl(group, name);
    await control.put('/tuning', {readServiceMs: 0});
  }
  const servingInstance = fleet.plan.instances.find(
    ({name}) => name === instance,
  );
  if (servingInstance === undefined)
    throw new Error('No instance served a read.');
  const direct = await connectDirectly(servingInstance.publishedAddress);
  return [
    {name: 'direct', send: direct, recorder: new LatencyRecorder()},
    {
      name: 'one hop',
      send: () => sendRead(owner, group),
      recorder: new LatencyRecorder(),
    },
    {
      name: 'two hops',
      send: () => sendRead(forwarder, group),
      recorder: new LatencyRecorder(),
    },
  ];
}

/** Opens a direct connection to an instance; returns a function that reads. */
async function connectDirectly(address: string): Promise<() => Promise<void>> {
  const client = new Client(`http://${address}:${FLEET_PORTS.service}`);
  const post = async (path: string, body: unknown): Promise<void> => {
    const response = await client.request({
      path,
      method: 'POST',
      headers: {'content-type': 'application/json'},
      body: JSON.stringify(body),
    });
    await response.body.json();
  };
  await post('/open', {client: 'measure'});
  const statement = {sql: SQL, parameters: ['none'], access: 'read'};
  return () => post('/statement', statement);
}

/** Finds a proxy that owns the connection and one that has to forward reads. */
async function findOwnerAndForwarder(
  clients: ReadonlyMap<string, CallerClient>,
  group: string,
): Promise<{owner: CallerClient; forwarder: CallerClient; instance: string}> {
  let instance = '';
  let owner: CallerClient | undefined;
  let forwarder: CallerClient | undefined;
  for (const client of clients.values()) {
    const {answer} = await client.run(createRead(group));
    const {servedBy} = answer;
    instance = servedBy.instance ?? instance;
    if (servedBy.owner === servedBy.proxy) owner ??= client;
    else forwarder ??= client;
  }
  if (owner === undefined || forwarder === undefined) {
    throw new Error('The deployment needs an owner and another proxy.');
  }
  return {owner, forwarder, instance};
}

async function sendRead(client: CallerClient, group: string): Promise<void> {
  const {status} = await client.run(createRead(group));
  if (status !== 200) throw new Error(`A read failed with status ${status}.`);
}

function createRead(group: string): Parameters<CallerClient['run']>[0] {
  return {
    group,
    sql: SQL,
    parameters: ['none'],
    access: 'read',
  };
}

/** Sends requests over the paths in turn, so that all have the same load. */
async function sendRoundRobin(
  paths: readonly RequestPath[],
  rounds: number,
  shouldRecord: boolean,
): Promise<void> {
  for (let round = 0; round < rounds; round += 1) {
    for (const {send, recorder} of paths) {
      const startedAt = performance.now();
      await send();
      if (shouldRecord) recorder.record(performance.now() - startedAt);
    }
  }
}

function createResult(paths: readonly RequestPath[]): ExperimentResult {
  const [direct, ...others] = paths.map(({name, recorder}) => ({
    name,
    summary: recorder.summary(),
  }));
  if (direct === undefined) throw new Error('The direct path is missing.');
  const bounds = [ONE_HOP_BOUND_MS, TWO_HOPS_BOUND_MS];
  const added = others.map(({name, summary}, index) => ({
    name: `added by ${name}, p50`,
    value: summary.p50Ms - direct.summary.p50Ms,
    unit: 'ms',
    bound: {relation: BoundRelation.AtMost, value: bounds[index] ?? 0},
  }));
  return {
    figures: [...added, ...[direct, ...others].flatMap(listFigures)],
    series: [],
    notes: [
      'Reads of the default allowed age with a service time of 0, one at a time over each path in turn, without the relay; directly from the instance that served the first of them.',
    ],
  };
}

function listFigures({
  name,
  summary,
}: {
  name: string;
  summary: LatencySummary;
}): Figure[] {
  const {count, p50Ms, p99Ms} = summary;
  return [
    {name: `${name}, requests`, value: count, unit: ''},
    {name: `${name}, p50`, value: p50Ms, unit: 'ms'},
    {name: `${name}, p99`, value: p99Ms, unit: 'ms'},
  ];
}

function isInGroup(group: string): (instance: {group: string}) => boolean {
  return instance => instance.group === group;
}
