import type {InstanceListView} from '@sapphireglade/decisions';
import * as z from 'zod';

/** Kind of the request for what a proxy knows of the instances of a group. */
const INSTANCE_LIST_KIND = 'instances';

/** Schema of the request. */
export const instanceListRequestSchema = z.object({
  kind: z.literal(INSTANCE_LIST_KIND),
  group: z.string(),
});

/** A request for what a proxy knows of the instances of a group. */
export type InstanceListRequest = z.infer<typeof instanceListRequestSchema>;

/** Schema of a position in a log. */
const positionSchema = z.object({term: z.number(), position: z.number()});

/** Schema of the response. */
const instanceListResponseSchema = z.object({
  canRead: z.boolean(),
  ageMs: z.number().nonnegative(),
  instances: z.array(
    z.object({id: z.string(), bornAtMs: z.number().optional()}),
  ),
  acknowledged: z
    .object({position: positionSchema.optional(), isComplete: z.boolean()})
    .optional(),
});

/** Creates the request for a group. */
export function instanceListRequest(group: string): InstanceListRequest {
  return {kind: INSTANCE_LIST_KIND, group};
}

/** Decodes a response. Returns undefined for one of an earlier version, or an error. */
export function decodeInstanceList(
  response: unknown,
): InstanceListView | undefined {
  const result = instanceListResponseSchema.safeParse(response);
  if (!result.success) return undefined;
  const {canRead, ageMs, instances, acknowledged} = result.data;
  return {
    canRead,
    ageMs,
    instances: instances.map(({id, bornAtMs}) => ({id, bornAtMs})),
    ...(acknowledged !== undefined && {
      acknowledged: {
        position: acknowledged.position,
        isComplete: acknowledged.isComplete,
      },
    }),
  };
}
