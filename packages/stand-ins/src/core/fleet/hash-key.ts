import {randomBytes, scryptSync} from 'node:crypto';

const SALT_BYTES = 16;
const HASH_BYTES = 32;

/** Salted hash of an access key, as stored in resources and settings. */
export interface HashedKey {
  readonly keyHash: string;
  readonly keySalt: string;
}

/** Hashes the access key of a caller or an operator with a random salt. */
export function hashKey(key: string): HashedKey {
  const salt = randomBytes(SALT_BYTES);
  const hash = scryptSync(key, salt, HASH_BYTES);
  return {keyHash: hash.toString('hex'), keySalt: salt.toString('hex')};
}
