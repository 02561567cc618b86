/**
 * Measures the processor time of events and metrics per statement, and the cost
 * of a scrape of the metrics. Budget: 1% of a core at the target load of 1,063
 * statements per second and node, which is 9.4 microseconds per statement.
 *
 * Usage: node scripts/measure-instrumentation.js
 */
import process from 'node:process';
import {
  createContext,
  ObservedRouter,
  OwnerObserver,
  proxySettingsSchema,
} from '@sapphireglade/proxy';

const STATEMENTS = 400_000;
const ROUNDS = 5;
const STATEMENTS_PER_SECOND = 680_000 / 640;
const BUDGET_CORE_SHARE = 0.01;
const GROUP_COUNTS = [10, 50, 200, 1_100];
const MICROSECONDS_PER_SECOND = 1_000_000;

const settings = proxySettingsSchema.parse({
  vm: 'entry-1',
  zone: 'zone-1',
  region: 'region-1',
  address: '127.0.0.1',
  sessionSecrets: ['a-secret-for-measurements-on-one-machine'],
  platform: {storeUrl: 'http://127.0.0.1:1', vmListUrl: 'http://127.0.0.1:1'},
});

const statementCostsUs = [];
for (let round = 0; round < ROUNDS; round += 1) {
  statementCostsUs.push(await measureStatements());
}
statementCostsUs.sort((left, right) => left - right);
const medianUs = statementCostsUs[Math.floor(ROUNDS / 2)];
const coreShare = (medianUs * STATEMENTS_PER_SECOND) / MICROSECONDS_PER_SECOND;
const budgetUs =
  (BUDGET_CORE_SHARE * MICROSECONDS_PER_SECOND) / STATEMENTS_PER_SECOND;
console.log(
  `Statement with all events and metrics, median of ${ROUNDS} rounds: ` +
    `${medianUs.toFixed(2)} us (budget ${budgetUs.toFixed(1)} us), ` +
    `${(coreShare * 100).toFixed(2)}% of a core at ` +
    `${STATEMENTS_PER_SECOND.toFixed(0)} statements a second.`,
);
for (const groupCount of GROUP_COUNTS) await measureScrape(groupCount);

/** Returns the processor time per statement beyond an empty call, in us. */
async function measureStatements() {
  const context = createContext(settings);
  const observedUs = await timeStatements(
    context,
    createObservedRouter(context),
  );
  const bareUs = await timeStatements(context, createBareRouter());
  return observedUs - bareUs;
}

async function timeStatements(context, router) {
  const before = process.cpuUsage();
  for (let index = 0; index < STATEMENTS; index += 1) {
    await router.route(createRequest(index, index % 2), 5_000);
  }
  const {user, system} = process.cpuUsage(before);
  return (user + system) / STATEMENTS;
}

/** Prints the cost of a scrape with the given number of groups. */
async function measureScrape(groupCount) {
  const context = createContext(settings);
  const router = createObservedRouter(context);
  for (let group = 0; group < groupCount; group += 1) {
    for (const access of [0, 1]) {
      await router.route(createRequest(access, group), 5_000);
    }
  }
  context.metrics.render();
  const before = process.cpuUsage();
  const text = context.metrics.render();
  const {user, system} = process.cpuUsage(before);
  console.log(
    `Scrape with ${groupCount} groups: ${((user + system) / 1_000).toFixed(1)} ms, ` +
      `${(text.length / 1_000).toFixed(0)} KB of text, ` +
      `${(process.memoryUsage.rss() / 1_000_000).toFixed(0)} MB resident.`,
  );
}

function createObservedRouter(context) {
  const position = {term: 1, position: 1};
  return new ObservedRouter(context, {
    route: async request => {
      const observer = new OwnerObserver(context, request);
      observer.routed('instance-1', 'primary', 'it may serve this');
      observer.admitted('instance-1');
      observer.ran('instance-1', position);
      if (request.access === 'write') observer.confirmed(position);
      return createResponse(position);
    },
    routeTo: undefined,
  });
}

function createBareRouter() {
  return {route: async () => createResponse({term: 1, position: 1})};
}

function createResponse(position) {
  return {
    owner: 'entry-2',
    ownerBoot: 'boot',
    result: {
      rows: [],
      rowCount: 0,
      instance: 'instance-1',
      role: 'primary',
      position,
    },
  };
}

function createRequest(index, group) {
  return {
    type: 'execute',
    requestId: `request-${index}`,
    caller: 'desk',
    group: `ledger-${group}`,
    sql: 'select 1',
    parameters: [],
    access: index % 2 === 0 ? 'read' : 'write',
    idempotent: false,
    allowedAgeMs: 1_000,
    minimumPosition: {term: 0, position: 0},
  };
}
