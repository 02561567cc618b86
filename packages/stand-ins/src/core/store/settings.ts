import {portSchema} from '@sapphireglade/decisions';
import {z} from 'zod';

/** Schema of the settings of the store. */
export const storeSettingsSchema = z.strictObject({
  address: z.ipv4(),
  port: portSchema,
  controlPort: portSchema,
  /** Maximum writes per second; further ones get status 429. */
  writesPerSecond: z.int().min(1).default(600),
  /** Maximum reads per second; further ones get status 429. */
  readsPerSecond: z.int().min(1).default(2_000),
  /** Delay before each response, in milliseconds. */
  answerMs: z.number().min(0).default(2),
});

/** Settings of the store. */
export type StoreSettings = z.infer<typeof storeSettingsSchema>;
