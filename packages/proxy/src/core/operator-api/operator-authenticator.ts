import {createHash, scrypt, timingSafeEqual} from 'node:crypto';
import {promisify} from 'node:util';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {ProxySettings} from '../settings/index.js';

type OperatorSettings = ProxySettings['operators'][number];

const deriveKey = promisify(scrypt) as (
  key: string,
  salt: Buffer,
  length: number,
) => Promise<Buffer>;

/** Length of a stored hash, in bytes. */
const HASH_BYTES = 32;

const AUTHORIZATION_PATTERN = /^Bearer ([a-z0-9-]{1,63}):(.{1,256})$/;

/** Authenticates the operators of the settings by their keys. */
export class OperatorAuthenticator {
  /** Digests of verified keys by operator; the keys are never stored. */
  private readonly verifiedKeyDigests = new Map<string, string>();

  /** @param operators - The operators of the settings. */
  constructor(private readonly operators: readonly OperatorSettings[]) {}

  /**
   * Returns the operator named by a header after verifying its key.
   *
   * @param header - The authorization header.
   * @returns The name of the operator.
   * @throws SapphiregladeError of kind `unauthenticated` if the key is missing,
   *   unknown or wrong.
   */
  async authenticate(header: string | undefined): Promise<string> {
    const [, name, key] = AUTHORIZATION_PATTERN.exec(header ?? '') ?? [];
    const operator = this.operators.find(entry => entry.name === name);
    if (operator === undefined || key === undefined)
      throw unauthenticatedError();
    if (await this.isKeyValid(operator, key)) return operator.name;
    throw unauthenticatedError();
  }

  private async isKeyValid(
    operator: OperatorSettings,
    key: string,
  ): Promise<boolean> {
    const digest = createHash('sha256')
      .update(`${operator.keyHash}\0${key}`)
      .digest();
    const verifiedDigest = this.verifiedKeyDigests.get(operator.name);
    if (verifiedDigest === digest.toString('hex')) return true;
    const salt = Buffer.from(operator.keySalt, 'hex');
    const hash = await deriveKey(key, salt, HASH_BYTES);
    if (!timingSafeEqual(hash, Buffer.from(operator.keyHash, 'hex'))) {
      return false;
    }
    this.verifiedKeyDigests.set(operator.name, digest.toString('hex'));
    return true;
  }
}

function unauthenticatedError(): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.Unauthenticated,
    'The key is missing, unknown or wrong.',
  );
}
