import {randomBytes, scrypt} from 'node:crypto';
import {promisify} from 'node:util';
import type {OperatorConsole} from '../output/index.js';
import {createUsageError} from './command-context.js';

const scryptAsync = promisify(scrypt) as (
  key: string,
  salt: Buffer,
  length: number,
) => Promise<Buffer>;

/** Length of a stored hash, in bytes; the proxy requires this length. */
const HASH_BYTES = 32;
/** Length of a salt, in bytes; the proxy requires this length. */
const SALT_BYTES = 16;
/** Length of a generated key before encoding, in bytes. */
const GENERATED_KEY_BYTES = 24;
/** Shortest accepted key, in characters. */
const MINIMUM_KEY_LENGTH = 16;
/** Longest key that the proxy accepts, in characters. */
const MAXIMUM_KEY_LENGTH = 256;

/** Salted hash of the key of a caller or an operator. */
export interface HashedKey {
  readonly keyHash: string;
  readonly keySalt: string;
}

/** `hash-key`: prints a salted hash of a key read from standard input. */
export async function hashKeyCommand(
  console: OperatorConsole,
  options: {readonly generate?: boolean},
): Promise<void> {
  const key =
    options.generate === true
      ? randomBytes(GENERATED_KEY_BYTES).toString('base64url')
      : (await console.readInput()).trim();
  if (key.length < MINIMUM_KEY_LENGTH || key.length > MAXIMUM_KEY_LENGTH) {
    throw createUsageError(
      `The key has ${key.length} characters; ${MINIMUM_KEY_LENGTH} to ${MAXIMUM_KEY_LENGTH} are allowed.`,
      'Pipe the key to standard input, or use --generate.',
    );
  }
  const hashed = await hashKey(key, randomBytes(SALT_BYTES));
  const result = options.generate === true ? {key, ...hashed} : hashed;
  console.print(JSON.stringify(result, null, 2));
}

/**
 * Hashes a key with the algorithm of the proxy.
 *
 * @param key - Key to hash.
 * @param salt - 16 random bytes.
 */
export async function hashKey(key: string, salt: Buffer): Promise<HashedKey> {
  const hash = await scryptAsync(key, salt, HASH_BYTES);
  return {keyHash: hash.toString('hex'), keySalt: salt.toString('hex')};
}
