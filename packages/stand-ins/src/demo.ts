/**
 * Demonstration: starts one group of three instances, the platform and three
 * proxies in two availability zones as separate processes, inserts a booking
 * through one proxy and reads it back through another. With `--keep` the
 * deployment keeps running until Ctrl+C, to try out the operator's tool.
 */
import {Outcome} from '@sapphireglade/decisions';
import type {CallerResult} from './core/fleet/index.js';
import {
  Fleet,
  FLEET_OPERATOR,
  accessKeyFor,
  loadExampleDeployment,
  waitUntil,
} from './core/fleet/index.js';

const GROUP = 'hire-ledger';
const BOOKING = 'booking-1';
const BOOKING_PROXY = 'lhr-depot-1';
const READING_PROXY = 'rwp-depot-1';

/** Longest time until the first booking succeeds, in milliseconds. */
const FIRST_BOOKING_TIMEOUT_MS = 10_000;

/** Option that keeps the deployment running after the demonstration. */
const KEEP_OPTION = '--keep';

process.exitCode = (await runDemo()) ? 0 : 1;

/**
 * Inserts a booking and reads it back.
 *
 * @returns Whether both outcomes were `done` and the row was read back.
 */
async function runDemo(): Promise<boolean> {
  console.log('Starting 3 instances, the platform and 3 proxies ...');
  const fleet = await Fleet.start({deployment: loadExampleDeployment('demo')});
  try {
    const booked = await book(fleet);
    printResult(`Booked through ${BOOKING_PROXY}`, booked);
    const read = await readBack(fleet, booked.session);
    printResult(`Read back through ${READING_PROXY}`, read);
    if (process.argv.includes(KEEP_OPTION)) await runUntilSignal(fleet);
    return wasReadBack(booked, read);
  } finally {
    await fleet.stop();
    console.log('Everything is stopped.');
  }
}

/** Retries the booking until the proxies have found the primary. */
async function book(fleet: Fleet): Promise<CallerResult> {
  const client = fleet.client(BOOKING_PROXY);
  let booked: CallerResult | undefined;
  await waitUntil(
    'The booking is answered',
    async () => {
      booked = await client.run({
        group: GROUP,
        sql: 'INSERT INTO bookings (id, stand, family) VALUES (?, ?, ?)',
        parameters: [BOOKING, 'brass wedding stand', 'Siddiqui'],
        access: 'write',
        requestId: 'demo-booking',
      });
      return booked.answer.outcome !== Outcome.NotRun;
    },
    FIRST_BOOKING_TIMEOUT_MS,
  );
  if (booked === undefined) throw new Error('The booking was not answered.');
  return booked;
}

function readBack(fleet: Fleet, session: string): Promise<CallerResult> {
  return fleet.client(READING_PROXY).run(
    {
      group: GROUP,
      sql: 'SELECT * FROM bookings WHERE id = ?',
      parameters: [BOOKING],
      access: 'read',
      requestId: 'demo-read',
    },
    session,
  );
}

/** Prints how to reach the deployment and waits for SIGINT or SIGTERM. */
async function runUntilSignal(fleet: Fleet): Promise<void> {
  console.log('\nFor the operator tool, in another shell:\n');
  const origin = fleet.proxyOrigin(BOOKING_PROXY, 'operator');
  console.log(`export SAPPHIREGLADE_PROXY=${origin}`);
  console.log(`export SAPPHIREGLADE_OPERATOR=${FLEET_OPERATOR}`);
  console.log(
    `export SAPPHIREGLADE_OPERATOR_KEY=${accessKeyFor(FLEET_OPERATOR)}`,
  );
  console.log('\nProcesses, for kill -9:');
  for (const {name, pid} of fleet.listProcesses()) {
    console.log(`  ${name}: ${pid}`);
  }
  console.log('\nCtrl+C stops everything.');
  await new Promise<void>(resolve => {
    process.once('SIGINT', () => resolve());
    process.once('SIGTERM', () => resolve());
  });
}

function printResult(title: string, {answer}: CallerResult): void {
  const {outcome, rows, servedBy, error} = answer;
  const {proxy, owner, instance, role, term, position} = servedBy;
  console.log(`\n${title}: ${outcome}`);
  console.log(`  proxy ${proxy}, owner ${owner}`);
  console.log(`  instance ${instance} (${role}), term ${term}`);
  console.log(`  position ${position}`);
  for (const row of rows) console.log(`  row ${JSON.stringify(row)}`);
  if (error !== undefined) console.log(`  ${error.kind}: ${error.message}`);
}

function wasReadBack(booked: CallerResult, read: CallerResult): boolean {
  const isDone =
    booked.answer.outcome === Outcome.Done &&
    read.answer.outcome === Outcome.Done;
  return isDone && read.answer.rows[0]?.['id'] === BOOKING;
}
