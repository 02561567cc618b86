import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import {z} from 'zod';

const transactionHandleSchema = z.strictObject({
  group: z.string(),
  owner: z.string(),
  boot: z.string(),
  transaction: z.string(),
});

/** Identifies a transaction by its group, owner and run of the owner. */
export type TransactionHandle = z.infer<typeof transactionHandleSchema>;

/** Encodes a handle for the caller. */
export function encodeTransactionHandle(handle: TransactionHandle): string {
  return Buffer.from(JSON.stringify(handle)).toString('base64url');
}

/**
 * Decodes a handle.
 *
 * @throws SapphiregladeError of kind `invalid-input` if it cannot be decoded.
 */
export function decodeTransactionHandle(text: string): TransactionHandle {
  try {
    const json = Buffer.from(text, 'base64url').toString('utf8');
    return transactionHandleSchema.parse(JSON.parse(json));
  } catch (cause) {
    throw new SapphiregladeError(
      ErrorKind.InvalidInput,
      'The transaction handle cannot be read.',
      {field: 'transaction', cause},
    );
  }
}
