/**
 * A proxy that owns no connections receives the configuration from a proxy that
 * has lost the store, and keeps an old route in force.
 */
import {performance} from 'node:perf_hooks';
import {Client} from '../lib/client.js';
import {runCase, sleep, waitUntilServed} from '../lib/fleet.js';

/** `configApplyMs` of the deployment. */
const APPLY_MS = 3_000;

/** How long one machine is partitioned from the store, in milliseconds. */
const CUT_MS = 4_000;

/** Interval between the writes of one client, in milliseconds. */
const WRITE_INTERVAL_MS = 25;

/** When the writes of a round end, in milliseconds after the ack. */
const WRITES_END_MS = 3_600;

/** Time between two rounds, in milliseconds. */
const PAUSE_MS = 3_000;

const ROUNDS = 14;

const CUT_ZONE = 'khi-depot';

const SERVICES = ['hire-ledger-1', 'hire-ledger-2'];

await runCase(
  import.meta.url,
  [2, 5, 2],
  async (fleet, record, isTrouble) => {
    if (!(await fleet.waitUntilReady())) return undefined;
    if (!(await waitUntilServed(fleet.gateways, record))) return undefined;
    const entries = (await fleet.findEntries()).filter(
      ({zone}) => zone === CUT_ZONE,
    );
    const owners = fleet.gateways.filter(
      each => each.zone === CUT_ZONE && !entries.includes(each),
    );
    if (entries.length === 0 || owners.length === 0) return undefined;
    let broken = 0;
    for (let round = 1; round <= ROUNDS && broken === 0; round += 1) {
      const cutOff = owners[round % owners.length];
      broken += await playRound({
        fleet,
        record,
        round,
        entries,
        cutOff: isTrouble ? cutOff : undefined,
      });
      await sleep(PAUSE_MS);
    }
    record.addRuns(fleet);
    record.add(`writes run by the old service too late: ${broken}`);
    return broken === 0;
  },
  SERVICES,
);

/** Moves the route to the other service; returns how many writes broke the rule. */
async function playRound({fleet, record, round, entries, cutOff}) {
  const [route] = fleet.routes;
  const old = fleet.services.find(({name}) => name === route.service);
  const next = fleet.services.find(each => each !== old);
  // One more change before, so that all watches have just begun.
  const watched = cutOff && untilWatch(cutOff.endpoint);
  route.targetLatencyMs += 1;
  fleet.configure();
  await watched;
  if (cutOff !== undefined) {
    record.add(`CUT ${cutOff.name} from the store`);
    cutOff.endpoint.isCut = true;
  }
  route.service = next.name;
  const ackAt = performance.now();
  fleet.configure();
  record.add(`round ${round}: the route moves to ${next.name}`);
  await sleep(APPLY_MS + 1);
  const sent = [];
  await Promise.all(
    entries.map(entry => writeFor({entry, ackAt, round, sent, record})),
  );
  if (cutOff !== undefined) {
    await sleep(Math.max(0, ackAt + CUT_MS - performance.now()));
    record.add(`HEAL ${cutOff.name} reaches the store again`);
    cutOff.endpoint.isCut = false;
  }
  const late = sent.filter(({id}) =>
    old.runs.some(run => run.id === id && run.sender !== cutOff?.name),
  );
  for (const {id, afterMs, entry, result} of late) {
    const {sender} = old.runs.find(run => run.id === id);
    record.add(
      `LATE ${id} was sent ${afterMs} ms after the ack to ${entry} and run by ${old.name}, sent on by ${sender}: ${result}`,
    );
  }
  return late.length;
}

/** Writes through one proxy until the round ends. */
async function writeFor({entry, ackAt, round, sent, record}) {
  const client = new Client(entry.ports[0]);
  await client.start('db-0');
  for (let index = 1; performance.now() < ackAt + WRITES_END_MS; index += 1) {
    const id = `w${round}-${entry.name}-${index}`;
    const afterMs = Math.round(performance.now() - ackAt);
    const {result} = await client.query(id, `STORE item ${id}`);
    sent.push({id, afterMs, entry: entry.name, result});
    record.add(`write ${id}, ${afterMs} ms after the ack: ${result}`);
    if (client.isClosed) return;
    await sleep(WRITE_INTERVAL_MS);
  }
  client.close();
}

/** Resolves when the next watch of the configuration arrives. */
function untilWatch(endpoint) {
  return new Promise(resolve => {
    endpoint.onWatch = prefix => {
      if (!prefix.startsWith('op/config')) return;
      endpoint.onWatch = () => undefined;
      resolve();
    };
  });
}
