/** A gateway is stopped while transactions with slow reads are open. */
import {performance} from 'node:perf_hooks';
import {setTimeout} from 'node:timers';
import {Client} from '../lib/client.js';
import {runCase, sleep, waitUntilServed} from '../lib/fleet.js';

/** How long a read is at work; the longest of the route's reads, in milliseconds. */
const WORK_MS = 300;

/** Statements of a transaction; the most that the pages name. */
const STATEMENTS = 12;

/** Sessions, one for each slot of an instance. */
const SESSIONS = 3;

/** The database of the reads, on a route like that of `availability`. */
const DATABASE = 'db-reads';

/** Time until the route is in force everywhere, in milliseconds. */
const CONFIGURATION_MS = 4_000;

/** When the transactions begin, in milliseconds after the SIGTERM. */
const BEGIN_MS = 2_100;

/** `graceS` of the deployment, in milliseconds. */
const GRACE_MS = 6_000;

/** A request that was sent up to this time may be cut at the end of the grace. */
const EXCUSED_MS = 3_000;

await runCase(import.meta.url, [4, 3, 2], async (fleet, record, isTrouble) => {
  if (!(await fleet.waitUntilReady())) return undefined;
  if (!(await waitUntilServed(fleet.gateways, record))) return undefined;
  const [service] = fleet.services;
  fleet.routes.push({
    ...fleet.routes[0],
    name: 'r-reads',
    databaseName: DATABASE,
    type: 'bounded_staleness',
    maxStalenessMs: 1_500,
    timeoutMs: 2_000,
    targetLatencyMs: 800,
    priority: 2,
  });
  fleet.configure();
  await sleep(CONFIGURATION_MS);
  service.workOf = item => (item === 'slow' ? WORK_MS : 0);
  const entries = await fleet.findEntries();
  const gateway = fleet.gateways.find(each => !entries.includes(each));
  if (gateway === undefined) return undefined;
  const sessions = Array.from(
    {length: SESSIONS},
    () => new Client(gateway.ports[0]),
  );
  for (const session of sessions) {
    const {result} = await session.start(DATABASE);
    record.add(`session at ${gateway.name}: ${result}`);
    if (result !== 'READY') return undefined;
  }
  gateway.isWanted = false;
  const stoppedAt = performance.now();
  if (isTrouble) {
    gateway.process.kill('SIGTERM');
    record.add(`SIGTERM to ${gateway.name}`);
    gateway.process.once('exit', code => {
      const afterMs = Math.round(performance.now() - stoppedAt);
      record.add(`${gateway.name} ended ${afterMs} ms later, code ${code}`);
    });
    setTimeout(() => gateway.process.kill('SIGKILL'), GRACE_MS);
  }
  await sleep(BEGIN_MS);
  const results = await Promise.all(
    sessions.map((session, index) =>
      runTransaction({session, index, stoppedAt, record}),
    ),
  );
  record.addRuns(fleet);
  // A transaction that failed before half of the grace period shows nothing.
  const hasFailedEarly = results.some(statements => {
    const last = statements.at(-1);
    return !last.result.startsWith('COMPLETE') && last.sentMs < EXCUSED_MS;
  });
  if (hasFailedEarly) return undefined;
  const cut = results
    .flat()
    .filter(
      ({id, result, sentMs}) =>
        result === 'CLOSED' &&
        sentMs > EXCUSED_MS &&
        service.runs.some(run => run.id === id),
    );
  for (const {id, sentMs, closedMs} of cut)
    record.add(
      `CUT ${id}: sent ${sentMs} ms after the SIGTERM, at work at an instance, connection ended at ${closedMs} ms without an answer`,
    );
  if (!isTrouble && results.flat().some(({result}) => result === 'CLOSED'))
    return undefined;
  return cut.length === 0;
});

/** Runs one transaction; returns what became of its statements. */
async function runTransaction({session, index, stoppedAt, record}) {
  const results = [];
  const send = async (name, text) => {
    const id = `t${index}-${name}`;
    const sentMs = Math.round(performance.now() - stoppedAt);
    const {result} = await session.query(id, text);
    const closedMs = Math.round(performance.now() - stoppedAt);
    record.add(`${id} "${text}" sent at ${sentMs} ms: ${result.slice(0, 90)}`);
    results.push({id, result, sentMs, closedMs});
    return result.startsWith('COMPLETE');
  };
  if (!(await send('begin', 'BEGIN FETCH'))) return results;
  for (let count = 1; count <= STATEMENTS; count += 1)
    if (!(await send(`read${count}`, 'FETCH slow'))) return results;
  await send('commit', 'COMMIT');
  return results;
}
