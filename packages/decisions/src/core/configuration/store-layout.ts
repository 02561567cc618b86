/**
 * Layout of the configuration in the platform's store.
 *
 * A body is written once, under its own key. The head references the body of each
 * resource; a change is accepted only by replacing the head with a
 * compare-and-swap.
 */
import * as z from 'zod';
import type {Resource, VersionedResource} from '../resources/index.js';
import {changeRecordSchema, resourceSchema} from '../resources/index.js';

/** Store key of the head. */
export const HEAD_KEY = 'sapphireglade/head';

/** Prefix of the store keys of all bodies. */
export const BODY_PREFIX = 'sapphireglade/body/';

/** Maximum length of an encoded head, in characters; the store allows a megabyte. */
export const MAXIMUM_HEAD_LENGTH = 1_000_000;

/** Maximum number of write identifiers in the head. */
export const MAXIMUM_RECENT_WRITES = 64;

const headEntrySchema = z.object({
  /** Version of the resource. */
  version: z.int().min(1),
  /** Key of its body. */
  body: z.string(),
});

const headSchema = z.object({
  /** Increases by one with each accepted change. */
  revision: z.int().min(0),
  /** Version and body of each resource, by key of the resource. */
  index: z.record(z.string(), headEntrySchema),
  /** Identifier of the change that wrote this head. */
  writeId: z.string(),
  /** Identifiers of the most recent changes, the latest last. */
  recentWrites: z.array(z.string()).default([]),
});

/** Version and body of one resource in the head. */
export type HeadEntry = z.infer<typeof headEntrySchema>;

/** The index of the whole configuration at one revision. */
export type ConfigurationHead = z.infer<typeof headSchema>;

/** The head before the first change. */
export const EMPTY_HEAD: ConfigurationHead = {
  revision: 0,
  index: {},
  writeId: '',
  recentWrites: [],
};

/**
 * Builds the store key of a body.
 *
 * @param key - Key of the resource, for example `group/ledger-1`.
 * @param version - Version that the body has if its change is accepted.
 * @param writer - Write identifier of the change, so that no two changes share a
 *   key.
 */
export function buildBodyKey(
  key: string,
  version: number,
  writer: string,
): string {
  return `${BODY_PREFIX}${key}/${version}-${writer}`;
}

/** The parts of the store key of a body. */
export interface BodyKeyParts {
  /** Key of the resource. */
  readonly key: string;
  /** Version that the body has if its change is accepted. */
  readonly version: number;
}

/** Parses the store key of a body; returns undefined if it is not one. */
export function parseBodyKey(bodyKey: string): BodyKeyParts | undefined {
  if (!bodyKey.startsWith(BODY_PREFIX)) return undefined;
  const match = /^([^/]+\/[^/]+)\/(\d+)-/.exec(
    bodyKey.slice(BODY_PREFIX.length),
  );
  if (match?.[1] === undefined) return undefined;
  return {key: match[1], version: Number(match[2])};
}

/**
 * Decodes the value of the head key.
 *
 * @param value - The value; null if the key does not exist yet.
 * @throws ZodError or SyntaxError if the value is not a head.
 */
export function decodeHead(value: string | null): ConfigurationHead {
  return value === null ? EMPTY_HEAD : headSchema.parse(JSON.parse(value));
}

/** Encodes a head for the store. */
export function encodeHead(head: ConfigurationHead): string {
  return JSON.stringify(head);
}

/**
 * Encodes a body: the fields of the resource, plus its change record as an
 * additional field.
 */
export function encodeBody(body: Omit<VersionedResource, 'version'>): string {
  return JSON.stringify({...body.resource, change: body.change});
}

/**
 * Decodes a body.
 *
 * @param version - The version of the resource in the head.
 * @throws ZodError or SyntaxError if the value is not a resource.
 */
export function decodeBody(value: string, version: number): VersionedResource {
  const {change, ...fields} = bodySchema.parse(JSON.parse(value));
  const resource: Resource = resourceSchema.parse(fields);
  return change === undefined
    ? {version, resource}
    : {version, resource, change};
}

const bodySchema = z.looseObject({change: changeRecordSchema.optional()});
