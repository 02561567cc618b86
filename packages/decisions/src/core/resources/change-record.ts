import * as z from 'zod';

/** Schema of a change record: author, time and reason. */
export const changeRecordSchema = z.object({
  /** Name of the operator. */
  by: z.string(),
  /** Time at which the change was requested, in ISO 8601. */
  at: z.string(),
  /** Reason given by the operator; empty if none was given. */
  reason: z.string(),
});

/** Author, time and reason of a change of a resource. */
export type ChangeRecord = z.infer<typeof changeRecordSchema>;
