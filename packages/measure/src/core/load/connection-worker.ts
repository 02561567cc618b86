/** Worker thread that keeps many sockets open and sends requests over them. */
import {parentPort, workerData} from 'node:worker_threads';
import {CallerClient} from '@sapphireglade/stand-ins';
import {runClosedLoop} from './closed-loop.js';
import type {
  ConnectionWorkerOptions,
  ConnectionWorkerMessage,
} from './types.js';
import {LatencyRecorder} from './latency-recorder.js';

const workerOptions = workerData as ConnectionWorkerOptions;
let nextGroupIndex = 0;
await runWorker();

async function runWorker(): Promise<void> {
  const clients = Array.from(
    {length: workerOptions.connections},
    () => new CallerClient({...workerOptions.client, sockets: 1}),
  );
  await openConnections(clients);
  postToParent({type: 'opened'});
  await new Promise(resolve => parentPort?.once('message', resolve));
  const recorder = new LatencyRecorder();
  let nextClientIndex = 0;
  let failures = 0;
  const answered = await runClosedLoop({
    concurrency: workerOptions.concurrency,
    durationMs: workerOptions.durationMs,
    send: async () => {
      const client = clients[nextClientIndex % clients.length];
      nextClientIndex += 1;
      const startedAt = performance.now();
      if (!(await sendRead(client))) failures += 1;
      recorder.record(performance.now() - startedAt);
    },
  });
  postToParent({type: 'done', answered, failures, summary: recorder.summary()});
  await Promise.all(clients.map(client => client.close()));
}

/** Opens all sockets by sending a request over each, a few at a time. */
async function openConnections(
  clients: readonly CallerClient[],
): Promise<void> {
  const unopened = [...clients];
  const open = async (): Promise<void> => {
    for (let client = unopened.pop(); client; client = unopened.pop()) {
      await sendRead(client);
    }
  };
  await Promise.all(
    Array.from({length: workerOptions.concurrency}, () => open()),
  );
}

async function sendRead(client: CallerClient | undefined): Promise<boolean> {
  try {
    const result = await client?.run({
      group:
        workerOptions.groups[
          (nextGroupIndex += 1) % workerOptions.groups.length
        ] ?? '',
      sql: 'SELECT * FROM bookings WHERE id = ?',
      parameters: ['none'],
      access: 'read',
      allowedAgeMs: 10_000,
    });
    return result?.status === 200;
  } catch {
    return false;
  }
}

function postToParent(message: ConnectionWorkerMessage): void {
  parentPort?.postMessage(message);
}
