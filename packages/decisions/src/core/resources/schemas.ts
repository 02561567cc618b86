import * as z from 'zod';

/** Maximum length of a resource name, in characters. */
const NAME_LENGTH = 63;

/** Schema of every name: lower-case letters, digits and hyphens. */
export const nameSchema = z
  .string()
  .min(1)
  .max(NAME_LENGTH)
  .regex(/^[a-z0-9]([a-z0-9-]*[a-z0-9])?$/, {
    error: 'must be lower-case letters, digits and inner hyphens',
  });

/** Schema of a TCP port. */
export const portSchema = z.int().min(1).max(65_535);

/** Schema of the state that an operator declares for an instance. */
export const instanceStateSchema = z.enum(['active', 'leaving', 'stopping']);

/** Schema of one instance of a database group. */
export const instanceSchema = z.strictObject({
  /** Name, unique within the group. */
  name: nameSchema,
  /** Availability zone in which it runs. */
  zone: nameSchema,
  /** IP address. */
  address: z.string().min(1),
  /** TCP port. */
  port: portSchema,
  /** Number of statements that it runs concurrently. */
  slots: z.int().min(1).max(1_000).default(3),
  /** Total limit of connections to the instance, set by the owner of the database. */
  connectionLimit: z.int().min(5).max(10_000),
  /** Declared state of the instance. */
  state: instanceStateSchema.default('active'),
});

/** Schema of a database group. */
export const groupSchema = z.strictObject({
  kind: z.literal('group'),
  name: nameSchema,
  /** Instances; the first is the primary of the first term. */
  instances: z.array(instanceSchema).min(1).max(9),
  /** Maximum age of read data if the caller specifies none, in milliseconds. */
  allowedAgeMs: z.int().min(0).max(86_400_000).default(1_000),
});

/** Schema of the access of a caller to one group. */
export const grantSchema = z.strictObject({
  group: nameSchema,
  access: z.enum(['read', 'write']),
});

/** Schema of a caller. The key itself is never stored. */
export const callerSchema = z.strictObject({
  kind: z.literal('caller'),
  name: nameSchema,
  /** Hexadecimal scrypt hash of the key. */
  keyHash: z.string().regex(/^[0-9a-f]{64}$/),
  /** Hexadecimal salt of the hash. */
  keySalt: z.string().regex(/^[0-9a-f]{32}$/),
  /** Access of the caller to groups. */
  grants: z.array(grantSchema).max(1_000),
  /** Weight of this caller in shared queues. */
  weight: z.int().min(1).max(100).default(1),
});

/** Schema of an operator's request for a change of primary. */
export const promotionSchema = z.strictObject({
  kind: z.literal('promotion'),
  /** Name of the group. */
  name: nameSchema,
  /** The instance that should become primary. */
  target: nameSchema,
});

/** Schema of every resource. */
export const resourceSchema = z.discriminatedUnion('kind', [
  groupSchema,
  callerSchema,
  promotionSchema,
]);

/** One instance of a database group. */
export type InstanceResource = z.infer<typeof instanceSchema>;
/** A database group. */
export type GroupResource = z.infer<typeof groupSchema>;
/** A caller. */
export type CallerResource = z.infer<typeof callerSchema>;
/** A request for a change of primary. */
export type PromotionResource = z.infer<typeof promotionSchema>;
/** Any resource. */
export type Resource = z.infer<typeof resourceSchema>;
/** The kind of a resource. */
export type ResourceKind = Resource['kind'];
