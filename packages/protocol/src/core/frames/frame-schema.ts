import * as z from 'zod';
import {SegmentPosition} from './types.js';

/** Schema of a timestamp of a hybrid logical clock. */
export const hybridTimestampSchema = z.object({
  wallMs: z.number(),
  counter: z.int().min(0),
});
const correlationSchema = z.int().min(0);
const nameSchema = z.string().max(256);

/** Schema of a segment of a message. */
export const segmentSchema = z.object({
  kind: z.literal('segment'),
  position: z.enum(SegmentPosition),
  data: z.instanceof(Uint8Array),
});

/** Schema of a decoded frame; the receiver of a body validates it. */
export const frameSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('hello'),
    clock: hybridTimestampSchema,
    version: z.int(),
    process: nameSchema,
    boot: nameSchema,
    zone: nameSchema,
    maximumMessageBytes: z.int().min(0).optional(),
  }),
  z.object({kind: z.literal('ping'), clock: hybridTimestampSchema}),
  z.object({kind: z.literal('pong'), clock: hybridTimestampSchema}),
  z.object({
    kind: z.literal('request'),
    clock: hybridTimestampSchema,
    correlation: correlationSchema,
    deadlineMs: z.number(),
    body: z.unknown(),
  }),
  z.object({
    kind: z.literal('answer'),
    clock: hybridTimestampSchema,
    correlation: correlationSchema,
    body: z.unknown(),
  }),
  z.object({
    kind: z.literal('notice'),
    clock: hybridTimestampSchema,
    body: z.unknown(),
  }),
]);
