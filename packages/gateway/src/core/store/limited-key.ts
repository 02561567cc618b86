import {createHash} from 'node:crypto';

/** Longest key that a store takes, in bytes of UTF-8. */
const MAXIMUM_KEY_BYTES = 200;

/**
 * Begins the part of a key that stands for a longer name. A name with a blank is the
 * name of no group that has instances, so no key of a shorter name is the same.
 */
const DIGEST_MARK = 'digest ';

/**
 * Returns a key, with a digest in place of the name if the store would refuse
 * the key with the name as too long.
 *
 * @param prefix - Beginning of the key.
 * @param name - What the key is for; chosen by the operator.
 */
export function limitedKey(prefix: string, name: string): string {
  const key = prefix + name;
  if (Buffer.byteLength(key) <= MAXIMUM_KEY_BYTES) return key;
  const digest = createHash('sha256').update(name).digest('base64url');
  return prefix + DIGEST_MARK + digest;
}
