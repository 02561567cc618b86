import {createHmac, timingSafeEqual} from 'node:crypto';
import {Encoder} from 'cbor-x';
import * as z from 'zod';
import {ErrorKind, SapphiregladeError} from '../errors/index.js';
import {nameSchema} from '../resources/index.js';
import {EMPTY_SESSION, MAXIMUM_SESSION_GROUPS} from './session-state.js';
import type {SessionState} from './types.js';

/** Maximum token length, in characters; keeps request headers within 16 KiB. */
export const MAXIMUM_TOKEN_LENGTH = 8_192;

/** First part of every token; changes with the token format. */
const TOKEN_VERSION = 'v1';

/** Length of the authentication code in a token, in bytes. */
const AUTHENTICATION_CODE_BYTES = 16;

const encoder = new Encoder({useRecords: false});

const entrySchema = z.tuple([nameSchema, z.int().min(0), z.int().min(0)]);
const payloadSchema = z.tuple([
  z.int().min(0),
  z.boolean(),
  z.array(entrySchema).max(MAXIMUM_SESSION_GROUPS),
]);

/**
 * Encodes a session as an authenticated token.
 *
 * @param session - The session to encode.
 * @param secrets - Secrets shared by all proxies; the first one signs.
 * @returns The header value: version, payload and code, separated by dots.
 */
export function encodeSessionToken(
  session: SessionState,
  secrets: readonly string[],
): string {
  const entries = Object.entries(session.positions).map(
    ([group, {term, position}]) => [group, term, position],
  );
  const fields = [session.revision, session.isFolded === true, entries];
  const payload = encoder.encode(fields).toString('base64url');
  const code = computeAuthenticationCode(payload, secrets[0] ?? '').toString(
    'base64url',
  );
  return [TOKEN_VERSION, payload, code].join('.');
}

/**
 * Decodes and verifies a token.
 *
 * @param token - The token as sent by a caller.
 * @param secrets - Secrets shared by all proxies; any of them may have signed.
 * @throws SapphiregladeError of kind `invalid-session-token`.
 */
export function decodeSessionToken(
  token: string,
  secrets: readonly string[],
): SessionState {
  if (token.length > MAXIMUM_TOKEN_LENGTH)
    throw createTokenError('it is too long');
  const [version, payload, code, ...rest] = token.split('.');
  if (version !== TOKEN_VERSION)
    throw createTokenError('its version is unknown');
  if (payload === undefined || code === undefined || rest.length > 0) {
    throw createTokenError('it does not have three parts');
  }
  if (!secrets.some(secret => isSignedBy(payload, code, secret))) {
    throw createTokenError('this fleet did not sign it');
  }
  return decodePayload(payload);
}

/** Decodes a payload whose authentication code has been verified. */
function decodePayload(payload: string): SessionState {
  const parsed = payloadSchema.safeParse(decodeCbor(payload));
  if (!parsed.success) throw createTokenError('its content is not valid');
  const [revision, isFolded, entries] = parsed.data;
  const positions = Object.fromEntries(
    entries.map(([group, term, position]) => [group, {term, position}]),
  );
  const session = {...EMPTY_SESSION, revision, positions};
  return isFolded ? {...session, isFolded} : session;
}

/** Decodes CBOR; a signed payload may be from another version and thus invalid. */
function decodeCbor(payload: string): unknown {
  try {
    return encoder.decode(Buffer.from(payload, 'base64url'));
  } catch {
    throw createTokenError('its content cannot be decoded');
  }
}

function isSignedBy(payload: string, code: string, secret: string): boolean {
  const expected = computeAuthenticationCode(payload, secret);
  const actual = Buffer.from(code, 'base64url');
  if (actual.length !== expected.length) return false;
  return timingSafeEqual(actual, expected);
}

/** Computes the authentication code of a payload: a truncated HMAC-SHA-256. */
function computeAuthenticationCode(payload: string, secret: string): Buffer {
  const signed = `${TOKEN_VERSION}.${payload}`;
  return createHmac('sha256', secret)
    .update(signed)
    .digest()
    .subarray(0, AUTHENTICATION_CODE_BYTES);
}

function createTokenError(reason: string): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.InvalidSessionToken,
    `The session token was refused: ${reason}.`,
    {field: 'sapphireglade-session'},
  );
}
