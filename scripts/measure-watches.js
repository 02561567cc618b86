/**
 * Measures the cost of watching idle instances at an owner: processor time,
 * memory and bytes per second. Repeats this for several numbers of instances
 * and fits a line.
 *
 * Usage: node scripts/measure-watches.js [seconds for each number of instances]
 */
import {createServer} from 'node:http';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {
  HttpUpstreamConnector,
  InstanceObservations,
  InstanceWatcher,
} from '@sapphireglade/proxy';
import {createSilentLogger} from '@sapphireglade/runtime';
import {printFit} from './slopes/fit.js';
import {
  measureChild,
  reportUsage,
  startMeasured,
} from './slopes/measured-child.js';

const INSTANCE_COUNTS = [0, 5, 10, 21, 42, 84];
const DEFAULT_SECONDS = 10;
const PORT = 18_483;
const ADDRESS = '127.68.0.2';
const OWNER_ROLE = 'owner';
const OPEN_TIMEOUT_MS = 1_000;
const STATUS = {
  instance: 'a',
  group: 'ledger',
  role: 'replica',
  term: 1,
  grantedTerm: 1,
  position: {term: 1, position: 1},
  termStarts: [{term: 1, position: 0}],
  replicas: {},
  connections: 4,
  connectionsByClient: {'lhr-depot-1': 4},
  slotsBusy: 0,
  slotsWaiting: 0,
  stopping: false,
};

if (process.argv[2] === OWNER_ROLE) await runOwner(Number(process.argv[3]));
else await runInstances(Number(process.argv[2] ?? DEFAULT_SECONDS));

/** Runs the measured owner, which watches the given number of instances. */
async function runOwner(instances) {
  const observations = new InstanceObservations();
  const connector = new HttpUpstreamConnector('owner');
  const target = {address: ADDRESS, port: PORT};
  for (let index = 0; index < instances; index += 1) {
    const watcher = new InstanceWatcher({
      group: `ledger-${index}`,
      instance: 'a',
      open: () => connector.open(target, OPEN_TIMEOUT_MS),
      observations,
      log: createSilentLogger(),
    });
    await watcher.start();
  }
  reportUsage(() => 0);
}

/** Runs the instances: a server that responds to each watch at its timeout. */
async function runInstances(seconds) {
  const sockets = new Set();
  const server = createServer(handleRequest);
  server.on('connection', socket => sockets.add(socket));
  await new Promise(resolve => server.listen(PORT, ADDRESS, resolve));
  const points = [];
  for (const instances of INSTANCE_COUNTS) {
    points.push(await measureWatches(instances, seconds, sockets));
  }
  server.close();
  console.table(points);
  for (const field of ['cpuPercent', 'bytesPerSecond', 'heapKb']) {
    printFit(points, 'instances', field);
  }
}

async function measureWatches(instances, seconds, sockets) {
  sockets.clear();
  const owner = await startMeasured(process.argv[1], [
    OWNER_ROLE,
    String(instances),
  ]);
  const usage = await measureChild(owner, seconds);
  const bytes = [...sockets].reduce(
    (sum, {bytesRead, bytesWritten}) => sum + bytesRead + bytesWritten,
    0,
  );
  owner.kill();
  const watchedSeconds = seconds + 2;
  return {instances, ...usage, bytesPerSecond: bytes / watchedSeconds};
}

function handleRequest(request, response) {
  let text = '';
  request.on('data', chunk => (text += chunk));
  request.on('end', () => {
    const {timeoutMs = 0} = JSON.parse(text || '{}');
    const body = request.url === '/open' ? {connection: 'c'} : STATUS;
    setTimeout(() => {
      response.setHeader('content-type', 'application/json');
      response.end(JSON.stringify(body));
    }, timeoutMs);
  });
}
