import type {SqlValue, InstanceStatus} from '@sapphireglade/protocol';
import {sqlValueSchema, instanceStatusSchema} from '@sapphireglade/protocol';
import {z} from 'zod';
import type {Fleet} from '../fleet/index.js';
import {logEntrySchema} from '../instance/index.js';
import type {InstanceHistory} from './types.js';

const positionSchema = z.object({term: z.int(), position: z.int()});

/** Schema of the response to `GET /log` of an instance's control port. */
const instanceLogSchema = z.object({
  entries: z.array(logEntrySchema),
  termEvents: z.array(
    z.object({
      kind: z.enum(['granted', 'promoted', 'followed']),
      term: z.int(),
      at: z.number(),
      position: positionSchema,
      droppedEntries: z.int(),
    }),
  ),
  runs: z.array(z.tuple([sqlValueSchema, z.int()])),
});

/** Fetches the history of every instance of a fleet. */
export async function collectInstanceHistories(
  fleet: Fleet,
): Promise<InstanceHistory[]> {
  return Promise.all(
    fleet.plan.instances.map(({group, name}) =>
      collectInstanceHistory(fleet, group, name),
    ),
  );
}

async function collectInstanceHistory(
  fleet: Fleet,
  group: string,
  instance: string,
): Promise<InstanceHistory> {
  const control = fleet.instanceControl(group, instance);
  const log = instanceLogSchema.parse(await control.get('/log'));
  const status: InstanceStatus = instanceStatusSchema.parse(
    await control.get('/status'),
  );
  const {role, term} = status;
  const runs = new Map<SqlValue, number>(log.runs);
  return {...log, group, instance, role, term, runs};
}
