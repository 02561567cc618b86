import {randomBytes, scryptSync} from 'node:crypto';

const SALT_BYTES = 16;
const HASH_BYTES = 32;

/** A salted hash of a key, as resources and settings hold it. */
export interface HashedKey {
  readonly keyHash: string;
  readonly keySalt: string;
}

/** Hashes a key of a caller or an operator. */
export function hashKey(key: string): HashedKey {
  const salt = randomBytes(SALT_BYTES);
  const hash = scryptSync(key, salt, HASH_BYTES);
  return {keyHash: hash.toString('hex'), keySalt: salt.toString('hex')};
}
