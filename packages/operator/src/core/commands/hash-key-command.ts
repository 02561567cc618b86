import {randomBytes, scrypt} from 'node:crypto';
import {promisify} from 'node:util';
import type {OperatorConsole} from '../output/index.js';
import {createUsageError} from './command-context.js';

const scryptAsync = promisify(scrypt) as (
  key: string,
  salt: Buffer,
  length: number,
) => Promise<Buffer>;

/** Length of a stored hash, in bytes, as the proxy expects it. */
const HASH_BYTES = 32;
/** Length of a salt, in bytes, as the proxy expects it. */
const SALT_BYTES = 16;
/** Length of a generated key, in bytes before its encoding. */
const GENERATED_KEY_BYTES = 24;
/** Shortest key that is accepted, in characters. */
const MINIMUM_KEY_LENGTH = 16;
/** Longest key that the proxy accepts, in characters. */
const MAXIMUM_KEY_LENGTH = 256;

/** A salted hash for a caller or an operator. */
export interface HashedKey {
  readonly keyHash: string;
  readonly keySalt: string;
}

/** `hash-key`: makes a salted hash of a key from standard input. */
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
  const shown = options.generate === true ? {key, ...hashed} : hashed;
  console.print(JSON.stringify(shown, null, 2));
}

/**
 * Hashes a key as the proxy does.
 *
 * @param key - The key.
 * @param salt - 16 random bytes.
 */
export async function hashKey(key: string, salt: Buffer): Promise<HashedKey> {
  const hash = await scryptAsync(key, salt, HASH_BYTES);
  return {keyHash: hash.toString('hex'), keySalt: salt.toString('hex')};
}
