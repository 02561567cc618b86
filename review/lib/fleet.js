/** A small deployment of gateway processes on loopback, with stand-ins around it. */
import {performance} from 'node:perf_hooks';
import {spawn} from 'node:child_process';
import {
  closeSync,
  mkdtempSync,
  openSync,
  rmSync,
  readFileSync,
  writeFileSync,
} from 'node:fs';
import {get} from 'node:http';
import {createServer} from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import process from 'node:process';
import {setTimeout} from 'node:timers';
import {fileURLToPath} from 'node:url';
import {Client} from './client.js';
import {HeldPath} from './held-path.js';
import {Service} from './instance.js';
import {PlatformEndpoint, Store} from './store.js';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

/** Delay after which the platform restarts a process that ended, in milliseconds. */
const RESTART_MS = 1_000;

/** Time in which the owners of the connections settle, in milliseconds. */
const SETTLE_MS = 4_000;

/** Range from which the ports of the gateways are drawn. */
const FIRST_PORT = 12_000;
const LAST_PORT = 32_000;
const usedPorts = new Set();

export const ZONES = ['lhr-depot', 'khi-depot', 'rwp-depot'];

export const REGIONS = {
  'lhr-depot': 'punjab',
  'khi-depot': 'sindh',
  'rwp-depot': 'punjab',
};

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms));

/** Writes down what was sent, answered and run. */
export class Record {
  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.lines = [];
    this.beganAt = performance.now();
  }

  add(text) {
    const seconds = ((performance.now() - this.beganAt) / 1_000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} ${text}`);
  }

  /** Adds the statements of clients that instances have run. */
  addRuns({services}) {
    for (const {name, runs} of services) {
      this.add(`statements run at ${name}: ${runs.length}`);
      for (const {id, text, instance, sender} of runs)
        this.add(`  ran ${id} "${text}" at ${instance}, sent by ${sender}`);
    }
  }

  save() {
    writeFileSync(this.file, `${this.lines.join('\n')}\n`);
  }
}

/** One gateway process with its endpoint of the platform. */
class Gateway {
  constructor(fleet, name, zone) {
    Object.assign(this, {fleet, name, zone, ends: 0, isWanted: true});
    this.endpoint = new PlatformEndpoint(
      fleet.store,
      (service, id, holder, token) => fleet.promote(service, id, holder, token),
    );
  }

  async prepare() {
    this.platform = await this.endpoint.listen();
    /** The path to the promotion call, which a case may cut. */
    this.promotionPath = new HeldPath(this.platform);
    this.promotion = await this.promotionPath.listen();
    this.ports = await freePorts(4);
    const [callers, readiness, peers, metrics] = this.ports.map(
      port => `127.0.0.1:${port}`,
    );
    this.settingsFile = join(this.fleet.folder, `${this.name}.json`);
    const settings = {
      name: this.name,
      availabilityZone: this.zone,
      regions: REGIONS,
      listen: {callers, readiness, metrics, peers},
      capacity: {
        processorShare: 0.675,
        processorCores: 1,
        linkMbps: 1_000,
        memoryMb: 350,
      },
      store: {address: this.platform},
      promotion: {address: this.promotion},
      configurationWithinMs: 3_000,
      leaveWithinMs: 7_000,
      maximumCallers: 3_800,
      stopGraceS: 6,
    };
    writeFileSync(this.settingsFile, JSON.stringify(settings));
  }

  /** Starts the program with the command of the deploy file. */
  start() {
    const log = openSync(join(this.fleet.folder, `${this.name}.log`), 'a');
    this.process = spawn(
      'node',
      ['--max-old-space-size=158', 'target/load-gateway.cjs'],
      {
        cwd: ROOT,
        env: {
          PATH: process.env.PATH,
          HOME: process.env.HOME,
          SAPPHIREGLADE_SETTINGS: this.settingsFile,
        },
        stdio: ['ignore', log, log],
      },
    );
    closeSync(log);
    this.process.once('exit', (code, signal) => this.onExit(code, signal));
  }

  onExit(code, signal) {
    if (!this.isWanted) return;
    const reason = this.reason();
    // Another program took a port after it was drawn; that is no fault.
    if (reason.includes('EADDRINUSE')) this.fleet.hasLostPort = true;
    this.ends += 1;
    this.fleet.record.add(
      `PROCESS ${this.name} ended by itself: code ${code}, signal ${signal}; ${reason}`,
    );
    setTimeout(() => {
      if (this.isWanted) this.start();
    }, RESTART_MS);
  }

  /** The last line of the log that names an error. */
  reason() {
    const lines = readFileSync(
      join(this.fleet.folder, `${this.name}.log`),
      'utf8',
    )
      .split('\n')
      .filter(line => /Error|heap|FATAL/.test(line) && !line.startsWith('{'));
    return (lines.at(-1) ?? 'no message').trim().slice(0, 200);
  }

  async isReady() {
    return (await fetchText(this.ports[1], '/sapphireglade/readiness')) !== '';
  }

  /** Whether the process holds connections to instances. */
  async isOwner() {
    const text = await fetchText(this.ports[3], '/metrics');
    return text.includes('sapphireglade_connections{');
  }

  stop() {
    this.isWanted = false;
    this.process?.kill('SIGKILL');
    this.endpoint.close();
    this.promotionPath?.close();
  }
}

/** The deployment. */
export class Fleet {
  /**
   * @param record - Receives what happens.
   * @param sizes - Number of gateways in each zone.
   * @param services - Names of the services.
   */
  constructor(record, sizes, services = ['hire-ledger-1']) {
    this.record = record;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.store = new Store();
    this.services = services.map(name => new Service(name, this.store, ZONES));
    this.gateways = sizes.flatMap((count, zone) =>
      Array.from(
        {length: count},
        (_, index) =>
          new Gateway(this, `front-${ZONES[zone]}-${index + 1}`, ZONES[zone]),
      ),
    );
    /** Orders to promote, as the platform received them. */
    this.orders = [];
    this.version = 7;
    this.routes = services.map((name, index) => ({
      name: `r-${index}`,
      databaseName: `db-${index}`,
      pathPrefix: '/',
      type: 'primary',
      timeoutMs: 1_000,
      targetLatencyMs: 400,
      priority: 1,
      service: name,
      attempts: 2,
    }));
  }

  promote(service, id, holder, token) {
    this.orders.push({service, id, holder, token});
    this.record.add(`PROMOTION ${service} ${id} by ${holder}, token ${token}`);
    return this.services.find(({name}) => name === service)?.promote(id) ?? 409;
  }

  /** Writes the next version of the configuration. */
  configure() {
    this.version += 3;
    this.store.put(
      'op/config',
      JSON.stringify({
        version: this.version,
        routes: this.routes,
        services: this.services.map(({name}) => ({
          name,
          healthPath: '/health',
          maxConns: 22,
          protocol: 'h1',
          tls: false,
          syncReplicas: 1,
        })),
        limits: {txIdleMs: 3_000, idleTimeoutMs: 15_000},
      }),
    );
    this.record.add(`CONFIG version ${this.version} acknowledged by the store`);
  }

  async start() {
    for (const service of this.services) await service.start();
    this.configure();
    for (const gateway of this.gateways) await gateway.prepare();
    for (const gateway of this.gateways) gateway.start();
  }

  /**
   * Waits until every gateway reports that it is ready and the owners of the
   * connections are settled; returns whether all are ready.
   */
  async waitUntilReady(timeoutMs = 20_000) {
    const endsAt = performance.now() + timeoutMs;
    for (const gateway of this.gateways) {
      while (!(await gateway.isReady())) {
        if (performance.now() > endsAt) return false;
        await sleep(100);
      }
    }
    await sleep(SETTLE_MS);
    return true;
  }

  /** Returns the gateways that own no connections, and so forward all statements. */
  async findEntries() {
    const entries = [];
    for (const gateway of this.gateways)
      if (!(await gateway.isOwner())) entries.push(gateway);
    const names = entries.map(({name}) => name).join(' ');
    this.record.add(`proxies that own no connections: ${names}`);
    return entries;
  }

  /** Returns how many machines have had three or more processes end by themselves. */
  endedTooOften() {
    const counts = this.gateways.map(({name, ends}) => `${name} ${ends}`);
    this.record.add(`ends without a cause outside: ${counts.join(', ')}`);
    return this.gateways.filter(({ends}) => ends >= 3).length;
  }

  stop() {
    for (const gateway of this.gateways) gateway.stop();
    for (const service of this.services) service.close();
    if (process.env.KEEP === undefined)
      rmSync(this.folder, {recursive: true, force: true});
  }
}

/**
 * Runs a case and ends the process with its result.
 *
 * @param url - Address of the module of the case.
 * @param sizes - Number of gateways in each zone.
 * @param play - Plays the case; returns whether the rule held, or undefined if
 *   the case could not run.
 */
export async function runCase(url, sizes, play, services) {
  const record = new Record(dirname(fileURLToPath(url)));
  const fleet = new Fleet(record, sizes, services);
  for (const signal of ['SIGTERM', 'SIGINT']) {
    process.once(signal, () => {
      fleet.stop();
      process.exit(2);
    });
  }
  process.once('uncaughtException', error => {
    record.add(`The case could not run: ${error.stack}`);
    record.save();
    fleet.stop();
    process.exit(2);
  });
  let result;
  try {
    await fleet.start();
    result = await play(fleet, record, process.env.TROUBLE !== '0');
  } catch (error) {
    record.add(`The case could not run: ${error.stack}`);
  } finally {
    fleet.stop();
  }
  if (fleet.hasLostPort) result = undefined;
  const code = result === undefined ? 2 : result ? 0 : 1;
  const words = ['the rule held', 'the rule was broken', 'not run'];
  record.add(`RESULT ${code}: ${words[code]}`);
  record.save();
  console.log(record.lines.at(-1));
  process.exit(code);
}

/** Waits until a write through each of some gateways succeeds. */
export async function waitUntilServed(gateways, record, timeoutMs = 20_000) {
  const endsAt = performance.now() + timeoutMs;
  let count = 0;
  for (const {name, ports} of gateways) {
    for (;;) {
      if (performance.now() > endsAt) return false;
      const client = new Client(ports[0]);
      await client.start('db-0');
      count += 1;
      const reply = await client.query(`w${count}`, 'STORE first value');
      client.close();
      if (reply.result.startsWith('COMPLETE')) break;
      await sleep(200);
    }
    record.add(`write w${count} at ${name} succeeded`);
  }
  return true;
}

function fetchText(port, path) {
  return new Promise(resolve => {
    const request = get({host: '127.0.0.1', port, path}, response => {
      const chunks = [];
      response.on('data', chunk => chunks.push(chunk));
      response.on('end', () =>
        resolve(
          response.statusCode === 200
            ? `200 ${chunks.map(String).join('')}`
            : '',
        ),
      );
    });
    request.setTimeout(1_000, () => request.destroy());
    request.on('error', () => resolve(''));
  });
}

/** Finds free ports below those that the system gives to connections. */
async function freePorts(count) {
  const ports = [];
  while (ports.length < count) {
    const port =
      FIRST_PORT + Math.floor(Math.random() * (LAST_PORT - FIRST_PORT));
    if (usedPorts.has(port) || !(await isFree(port))) continue;
    usedPorts.add(port);
    ports.push(port);
  }
  return ports;
}

function isFree(port) {
  const server = createServer();
  return new Promise(resolve => {
    server.once('error', () => resolve(false));
    server.listen({host: '127.0.0.1', port}, () =>
      server.close(() => resolve(true)),
    );
  });
}
