import * as z from 'zod';

/** The parts of the store that are passed on. */
export const NewsPart = {
  Members: 'members',
  Configuration: 'configuration',
} as const;

/** One of the parts. */
export type NewsPart = (typeof NewsPart)[keyof typeof NewsPart];

/** Kind of the request that asks for news. */
export const NEWS_KIND = 'news';

/** Checks a request for news. */
export const newsRequestSchema = z.object({
  kind: z.literal(NEWS_KIND),
  /** Revisions up to which each part is known; left out if nothing is. */
  known: z.object({
    members: z.number().optional(),
    configuration: z.number().optional(),
  }),
  /** What the clocks of the sender showed; earlier versions leave it out. */
  sentAt: z.object({steadyMs: z.number(), wallMs: z.number()}).optional(),
});

/** A request for news. */
export type NewsRequest = z.infer<typeof newsRequestSchema>;

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
export const newsAnswerSchema = z.object({
  members: changesSchema,
  configuration: changesSchema,
});

/** An answer with news. */
export type NewsAnswer = z.infer<typeof newsAnswerSchema>;
