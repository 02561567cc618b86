import {ErrorKind, Outcome} from '@sapphireglade/decisions';
import * as z from 'zod';

/** Schema of a position in a group's log. */
export const logPositionSchema = z.object({
  term: z.int().min(0),
  position: z.int().min(0),
});

/**
 * Schema of a group's primary, its term and the positions at which its terms
 * started.
 */
export const groupViewSchema = z.object({
  group: z.string(),
  term: z.int().min(0),
  primary: z.string(),
  termStarts: z.array(
    z.object({term: z.int().min(0), position: z.int().min(0)}),
  ),
  /** The voters of the term, then earlier sets that the next term needs. */
  voterSets: z
    .array(
      z.object({
        term: z.int().min(0),
        instances: z.array(z.string()).readonly(),
        version: z.int().optional(),
      }),
    )
    .readonly()
    .optional(),
});

/** Schema of an error that is sent over a link. */
export const peerErrorSchema = z.object({
  kind: z.enum(Object.values(ErrorKind)),
  message: z.string(),
  outcome: z.enum(Object.values(Outcome)),
  retryAfterMs: z.number().optional(),
});

/** An error that is sent over a link. */
export type PeerError = z.infer<typeof peerErrorSchema>;
