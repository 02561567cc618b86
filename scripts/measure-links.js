/**
 * Measures the cost of idle links at one node: processor time, memory and bytes
 * per second. Repeats this for several numbers of links and fits a line.
 *
 * Usage: node scripts/measure-links.js [seconds for each number of links]
 */
import process from 'node:process';
import {
  DEFAULT_LINK_TIMEOUTS,
  LinkDialer,
  LinkServer,
} from '@sapphireglade/protocol';
import {createSilentLogger, HybridLogicalClock} from '@sapphireglade/runtime';
import {printFit} from './slopes/fit.js';
import {
  measureChild,
  reportUsage,
  startMeasured,
} from './slopes/measured-child.js';

const LINK_COUNTS = [0, 10, 40, 91, 160, 320];
const DEFAULT_SECONDS = 10;
const PORT = 18_482;
const ADDRESS = '127.68.0.1';
const NODE_ROLE = 'node';

if (process.argv[2] === NODE_ROLE) await runNode();
else await runPeers(Number(process.argv[2] ?? DEFAULT_SECONDS));

/** Runs the measured node: accepts links and reports its resource usage. */
async function runNode() {
  const server = new LinkServer(
    {address: ADDRESS, port: PORT},
    createLinkContext('node'),
    createSilentLogger(),
  );
  await server.start();
  reportUsage(() =>
    server.openLinks.reduce(
      (sum, {counters}) => sum + counters.bytesSent + counters.bytesReceived,
      0,
    ),
  );
}

/** Runs the peers: opens links and prints their cost at the node. */
async function runPeers(seconds) {
  const points = [];
  for (const count of LINK_COUNTS)
    points.push(await measureLinks(count, seconds));
  console.table(points);
  for (const field of ['cpuPercent', 'bytesPerSecond', 'heapKb']) {
    printFit(points, 'links', field);
  }
}

async function measureLinks(links, seconds) {
  const node = await startMeasured(process.argv[1], [NODE_ROLE]);
  const dialers = Array.from(
    {length: links},
    (_, index) =>
      new LinkDialer(
        {address: ADDRESS, port: PORT},
        createLinkContext(`p${index}`),
      ),
  );
  await Promise.all(dialers.map(dialer => dialer.open()));
  const usage = await measureChild(node, seconds);
  for (const dialer of dialers) dialer.stop();
  node.kill();
  return {links, ...usage};
}

function createLinkContext(name) {
  return {
    identity: {process: name, boot: `${name}-1`, zone: 'zone'},
    clock: new HybridLogicalClock(),
    handlers: {onRequest: async () => ({}), onNotification: () => undefined},
    timings: DEFAULT_LINK_TIMEOUTS,
  };
}
