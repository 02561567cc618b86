/**
 * Sessions with many values, at a proxy that forwards their statements to the
 * owners of the connections.
 */
import {performance} from 'node:perf_hooks';
import {Client} from '../lib/client.js';
import {runCase, sleep, waitUntilServed} from '../lib/fleet.js';

/** Size of one value, in bytes; a message may have 1 MiB. */
const VALUE_BYTES = 200_000;

/** Values of a large session: 2.4 MB in all. */
const LARGE_VALUES = 12;

const ROUNDS = 5;
const ROUND_MS = 9_000;

await runCase(import.meta.url, [4, 3, 2], async (fleet, record, isTrouble) => {
  if (!(await fleet.waitUntilReady())) return undefined;
  const entries = await fleet.findEntries();
  if (entries.length < 2) return undefined;
  if (!(await waitUntilServed(entries, record))) return undefined;
  let unserved = 0;
  for (let round = 1; round <= ROUNDS; round += 1) {
    const endsAt = performance.now() + ROUND_MS;
    for (const entry of entries) {
      const session = new Client(entry.ports[0]);
      const greeting = await session.start('db-0');
      const count = isTrouble ? LARGE_VALUES : 1;
      let set = 0;
      for (let index = 0; index < count; index += 1) {
        const id = `s${round}-${index}`;
        const value = 'y'.repeat(VALUE_BYTES);
        const reply = await session.query(id, `SET value${index} ${value}`);
        if (reply.result === 'COMPLETE -') set += 1;
      }
      const id = `r${round}-${entry.name}`;
      const reply = await session.query(id, 'FETCH first');
      record.add(
        `session at ${entry.name}: ${greeting.result}; ${set} of ${count} values set; read ${id}: ${reply.result.slice(0, 120)}`,
      );
      if (!reply.result.startsWith('COMPLETE')) unserved += 1;
      // The client stays connected for a while, as most do.
      await sleep(1_500);
      record.add(
        `session at ${entry.name} is ${session.isClosed ? 'cut off' : 'open'}`,
      );
      session.close();
    }
    await sleep(Math.max(0, endsAt - performance.now()));
  }
  record.addRuns(fleet);
  record.add(`reads that were not served: ${unserved}`);
  if (!isTrouble && unserved > 0) return undefined;
  return fleet.endedTooOften() < 2;
});
