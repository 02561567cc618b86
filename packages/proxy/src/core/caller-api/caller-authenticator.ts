import {createHash, scrypt, timingSafeEqual} from 'node:crypto';
import {promisify} from 'node:util';
import type {CallerResource} from '@sapphireglade/decisions';
import {
  ErrorKind,
  findCaller,
  SapphiregladeError,
} from '@sapphireglade/decisions';
import type {ProxyContext} from '../context/index.js';

const deriveKey = promisify(scrypt) as (
  key: string,
  salt: Buffer,
  length: number,
) => Promise<Buffer>;

/** Length of a stored hash, in bytes. */
const HASH_BYTES = 32;

/** Maximum number of cached key digests. */
const CACHE_CAPACITY = 10_000;

const AUTHORIZATION_PATTERN = /^Bearer ([a-z0-9-]{1,63}):(.{1,256})$/;

/** Authenticates callers by their keys. */
export class CallerAuthenticator {
  /** Digests of verified keys by caller; the keys are never stored. */
  private readonly verifiedKeyDigests = new Map<string, string>();

  /** @param context - Context shared by all tasks. */
  constructor(private readonly context: ProxyContext) {}

  /**
   * Returns the caller named by a header after verifying its key.
   *
   * @param header - The authorization header.
   * @throws SapphiregladeError of kind `unauthenticated` if the key is missing,
   *   unknown or wrong.
   */
  async authenticate(header: string | undefined): Promise<CallerResource> {
    const [, name, key] = AUTHORIZATION_PATTERN.exec(header ?? '') ?? [];
    if (name === undefined || key === undefined) throw unauthenticatedError();
    const caller = findCaller(this.context.configuration.value, name);
    if (caller === undefined) throw unauthenticatedError();
    if (await this.isKeyValid(caller, key)) return caller;
    throw unauthenticatedError();
  }

  private async isKeyValid(
    caller: CallerResource,
    key: string,
  ): Promise<boolean> {
    const digest = createHash('sha256')
      .update(`${caller.keyHash}\0${key}`)
      .digest('hex');
    if (this.verifiedKeyDigests.get(caller.name) === digest) return true;
    const salt = Buffer.from(caller.keySalt, 'hex');
    const hash = await deriveKey(key, salt, HASH_BYTES);
    if (!timingSafeEqual(hash, Buffer.from(caller.keyHash, 'hex'))) {
      return false;
    }
    if (this.verifiedKeyDigests.size >= CACHE_CAPACITY)
      this.verifiedKeyDigests.clear();
    this.verifiedKeyDigests.set(caller.name, digest);
    return true;
  }
}

function unauthenticatedError(): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.Unauthenticated,
    'The key is missing, unknown or wrong.',
  );
}
