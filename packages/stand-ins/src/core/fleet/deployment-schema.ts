import {grantSchema, nameSchema} from '@sapphireglade/decisions';
import {z} from 'zod';

const zoneSchema = z.strictObject({
  name: nameSchema,
  region: nameSchema,
});

const vmSchema = z.strictObject({name: nameSchema, zone: nameSchema});

const instanceSchema = z.strictObject({
  name: nameSchema,
  zone: nameSchema,
  slots: z.int().min(1).default(3),
  connectionLimit: z.int().min(5).default(20),
});

const groupSchema = z.strictObject({
  name: nameSchema,
  allowedAgeMs: z.int().min(0).default(1_000),
  /** The first instance is the primary of the first term. */
  instances: z.array(instanceSchema).min(1).max(9),
});

const callerSchema = z.strictObject({
  name: nameSchema,
  grants: z.array(grantSchema),
  weight: z.int().min(1).default(1),
});

const networkSchema = z.strictObject({
  /** One-way latency between availability zones of a region, in milliseconds. */
  betweenZonesMs: z.number().min(0),
  /** One-way latency between regions, in milliseconds. */
  betweenRegionsMs: z.number().min(0),
  /** One-way latency between a caller and its zone, in milliseconds. */
  toCallersMs: z.number().min(0),
  /** Bandwidth between two regions, in bytes per second and direction. */
  regionBytesPerSecond: z.int().min(1).optional(),
});

/** Schema of a deployment: processes, groups, callers and network. */
export const deploymentSchema = z.strictObject({
  name: nameSchema,
  zones: z.array(zoneSchema).min(1).max(20),
  vms: z.array(vmSchema).min(1).max(90),
  groups: z.array(groupSchema).min(1).max(30),
  callers: z.array(callerSchema).min(1),
  /** Zone of the platform's store and VM list. */
  platformZone: nameSchema,
  /** Time that an instance takes to open a connection, in milliseconds. */
  openMs: z.number().min(0).default(12),
  network: networkSchema,
});

/** A deployment: processes, groups, callers and network. */
export type Deployment = z.infer<typeof deploymentSchema>;
/** Availability zone of a deployment. */
export type DeploymentZone = Deployment['zones'][number];
/** VM of a deployment, which runs a proxy. */
export type DeploymentVm = Deployment['vms'][number];
/** Group of a deployment. */
export type DeploymentGroup = Deployment['groups'][number];
