import * as z from 'zod';

/** The parts of the store that are passed on. */
export const RelayedSection = {
  Members: 'members',
  Configuration: 'configuration',
} as const;

/** One of the parts. */
export type RelayedSection =
  (typeof RelayedSection)[keyof typeof RelayedSection];

/** Kind of the request that asks for news. */
export const RELAY_REQUEST_KIND = 'news';

/** Checks a request for news. */
export const relayRequestSchema = z.object({
  kind: z.literal(RELAY_REQUEST_KIND),
  /** Revisions up to which each part is known; left out if nothing is. */
  known: z.object({
    members: z.number().optional(),
    configuration: z.number().optional(),
  }),
  /** What the clocks of the sender showed; earlier versions leave it out. */
  sentAt: z.object({steadyMs: z.number(), wallMs: z.number()}).optional(),
});

/** A request for news. */
export type RelayRequest = z.infer<typeof relayRequestSchema>;

const changesSchema = z.object({
  /** Everything up to it is included. */
  revision: z.number(),
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

/** Checks an answer with news. */
export const relayResponseSchema = z.object({
  members: changesSchema,
  configuration: changesSchema,
});

/** An answer with news. */
export type RelayResponse = z.infer<typeof relayResponseSchema>;
