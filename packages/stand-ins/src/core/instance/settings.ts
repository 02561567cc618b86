import {nameSchema, portSchema} from '@sapphireglade/decisions';
import {peerInstanceSchema} from '@sapphireglade/protocol';
import {z} from 'zod';

/** Fields that tests change while an instance runs. */
const tuningFields = {
  /** Replication lag while this instance is a replica, in milliseconds. */
  replicationLagMs: z.int().min(0),
  /** Time for which a read occupies a slot, in milliseconds. */
  readServiceMs: z.number().min(0),
  /** Time for which a write occupies a slot, in milliseconds. */
  writeServiceMs: z.number().min(0),
  /** Whether the instance is about to be stopped. */
  stopping: z.boolean(),
};

/** Schema of the body of `PUT /tuning`; missing fields keep their values. */
export const tuningChangeSchema = z.strictObject(tuningFields).partial();

/** Schema of the initial tuning. */
const initialTuningSchema = z.strictObject({
  replicationLagMs: tuningFields.replicationLagMs.default(0),
  readServiceMs: tuningFields.readServiceMs.default(2),
  writeServiceMs: tuningFields.writeServiceMs.default(3),
  stopping: tuningFields.stopping.default(false),
});

/** Schema of the settings of an instance. */
export const instanceSettingsSchema = z.strictObject({
  group: nameSchema,
  instance: nameSchema,
  address: z.ipv4(),
  port: portSchema,
  controlPort: portSchema,
  connectionLimit: z.int().min(1),
  slots: z.int().min(1).default(3),
  /** Time to open a connection, in milliseconds. */
  openMs: z.number().min(0).default(12),
  /** Idle time before a connection is closed, in milliseconds. */
  idleTimeoutMs: z.int().min(1).default(15_000),
  /** Initial primary to follow; left out for the initial primary itself. */
  primary: peerInstanceSchema.optional(),
  /** Voters of the first term. */
  voters: z.array(nameSchema).optional(),
  tuning: initialTuningSchema.prefault({}),
});

/** Settings of an instance. */
export type InstanceSettings = z.infer<typeof instanceSettingsSchema>;
/** Values that tests change while an instance runs. */
export type InstanceTuning = z.infer<typeof initialTuningSchema>;
