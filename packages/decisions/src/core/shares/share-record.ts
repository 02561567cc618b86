/** Record of the connection shares of one group in the store. */
import * as z from 'zod';

const shareGrantSchema = z.object({
  /** Name of the VM that holds the share. */
  holder: z.string(),
  /** Run of the proxy that holds the share. */
  boot: z.string(),
  /** Number of connections that the holder may open. */
  connections: z.int().min(1),
});

const shareRecordSchema = z.object({
  /** Identifier of the change that wrote this record. */
  writeId: z.string(),
  /** Shares of each instance, keyed by the name of the instance. */
  instances: z.record(z.string(), z.array(shareGrantSchema)),
});

/**
 * A share of the connections to one instance, granted to one run of a proxy.
 */
export type ShareGrant = z.infer<typeof shareGrantSchema>;

/** The shares of one group. */
export type ShareRecord = z.infer<typeof shareRecordSchema>;

/** Record without any share. */
export const EMPTY_SHARE_RECORD: ShareRecord = {writeId: '', instances: {}};

/** Returns the store key of the record of a group. */
export function shareRecordKey(group: string): string {
  return `sapphireglade/shares/${group}`;
}

/**
 * Decodes a record.
 *
 * @param value - The value in the store; null if there is none.
 * @throws ZodError or SyntaxError if the value is not a valid record.
 */
export function decodeShareRecord(value: string | null): ShareRecord {
  if (value === null) return EMPTY_SHARE_RECORD;
  return shareRecordSchema.parse(JSON.parse(value));
}

/** Encodes a record for the store. */
export function encodeShareRecord(record: ShareRecord): string {
  return JSON.stringify(record);
}

/** Returns the shares of one instance. */
export function grantsOf(
  record: ShareRecord,
  instance: string,
): readonly ShareGrant[] {
  // Ignores inherited properties, because names such as "constructor" are allowed.
  if (!Object.hasOwn(record.instances, instance)) return [];
  return record.instances[instance] ?? [];
}

/** Returns the number of connections that all shares of an instance allow. */
export function grantedConnections(
  record: ShareRecord,
  instance: string,
): number {
  return grantsOf(record, instance).reduce(
    (sum, grant) => sum + grant.connections,
    0,
  );
}
