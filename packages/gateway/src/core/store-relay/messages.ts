import * as z from 'zod';

/** The sections of the store that are relayed. */
export const RelayedSection = {
  Members: 'members',
  Configuration: 'configuration',
} as const;

/** A relayed section. */
export type RelayedSection =
  (typeof RelayedSection)[keyof typeof RelayedSection];

/** Kind of the relay request. */
export const RELAY_REQUEST_KIND = 'news';

/** Schema of the relay request. */
export const relayRequestSchema = z.object({
  kind: z.literal(RELAY_REQUEST_KIND),
  /**
   * Generation of the store to which the revisions belong; earlier versions
   * leave it out.
   */
  generation: z.number().optional(),
  /** Last revision received of each section; left out if there is none. */
  known: z.object({
    members: z.number().optional(),
    configuration: z.number().optional(),
  }),
  /** Reading of the sender's clocks; earlier versions leave it out. */
  sentAt: z.object({steadyMs: z.number(), wallMs: z.number()}).optional(),
});

/** A request for changes of the relayed sections. */
export type RelayRequest = z.infer<typeof relayRequestSchema>;

const changesSchema = z.object({
  /** Revision up to which all changes are included. */
  revision: z.number(),
  /**
   * Time since the store is known to have held nothing newer, in milliseconds;
   * earlier versions leave it out.
   */
  ageMs: z.number().optional(),
  isWhole: z.boolean(),
  items: z.array(
    z.object({
      key: z.string(),
      value: z.custom<Uint8Array>(value => value instanceof Uint8Array),
      revision: z.number(),
      leaseId: z.number(),
    }),
  ),
  removals: z.array(z.object({key: z.string(), revision: z.number()})),
});

/** Schema of the relay response. */
export const relayResponseSchema = z.object({
  /** Generation of the store; earlier versions leave it out. */
  generation: z.number().default(0),
  members: changesSchema,
  configuration: changesSchema,
});

/** The changes of the relayed sections. */
export type RelayResponse = z.infer<typeof relayResponseSchema>;
