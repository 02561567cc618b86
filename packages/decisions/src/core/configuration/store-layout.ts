/**
 * How the configuration is laid out in the platform's store.
 *
 * A body is written once, under a key of its own. The head names the body of
 * each resource; replacing the head by one compare-and-swap is the one point
 * at which a change is accepted.
 */
import {z} from 'zod';
import type {Resource, VersionedResource} from '../resources/index.js';
import {changeRecordSchema, resourceSchema} from '../resources/index.js';

/** Key of the head. */
export const HEAD_KEY = 'sapphireglade/head';

/** What the keys of all bodies begin with. */
export const BODY_PREFIX = 'sapphireglade/body/';

/** Longest encoded head, in characters; the store allows a megabyte. */
export const MAXIMUM_HEAD_LENGTH = 1_000_000;

/** How many write identifiers the head remembers. */
export const MAXIMUM_RECENT_WRITES = 64;

const headEntrySchema = z.object({
  /** Version of the resource. */
  version: z.int().min(1),
  /** Key of its body. */
  body: z.string(),
});

const headSchema = z.object({
  /** Rises by one with each accepted change. */
  revision: z.int().min(0),
  /** Version and body of each resource, by key of the resource. */
  index: z.record(z.string(), headEntrySchema),
  /** Identifies the change that made this head. */
  writeId: z.string(),
  /** Identifiers of the latest changes, the latest last. */
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
 * Builds the key of a body.
 *
 * @param key - Key of the resource, for example `group/ledger-1`.
 * @param version - Version that the body would become.
 * @param writer - Identifies the change, so that no two share a key.
 */
export function buildBodyKey(
  key: string,
  version: number,
  writer: string,
): string {
  return `${BODY_PREFIX}${key}/${version}-${writer}`;
}

/** The parts of the key of a body. */
export interface BodyKeyParts {
  /** Key of the resource. */
  readonly key: string;
  /** Version that the body would become. */
  readonly version: number;
}

/** Takes the key of a body apart; nothing if it is not one. */
export function parseBodyKey(bodyKeyText: string): BodyKeyParts | undefined {
  if (!bodyKeyText.startsWith(BODY_PREFIX)) return undefined;
  const match = /^([^/]+\/[^/]+)\/(\d+)-/.exec(
    bodyKeyText.slice(BODY_PREFIX.length),
  );
  if (match?.[1] === undefined) return undefined;
  return {key: match[1], version: Number(match[2])};
}

/**
 * Decodes the value of the head key.
 *
 * @param value - The value; null if there is no such key yet.
 * @throws ZodError or SyntaxError if it is not a head.
 */
export function decodeHead(value: string | null): ConfigurationHead {
  return value === null ? EMPTY_HEAD : headSchema.parse(JSON.parse(value));
}

/** Encodes a head for the store. */
export function encodeHead(head: ConfigurationHead): string {
  return JSON.stringify(head);
}

/**
 * Encodes a body: the resource, with the record of its change beside its
 * fields.
 */
export function encodeBody(body: Omit<VersionedResource, 'version'>): string {
  return JSON.stringify({...body.resource, change: body.change});
}

/**
 * Decodes a body.
 *
 * @param version - The version that the head gives.
 * @throws ZodError or SyntaxError if it is not a resource.
 */
export function decodeBody(value: string, version: number): VersionedResource {
  const {change, ...fields} = bodySchema.parse(JSON.parse(value));
  const resource: Resource = resourceSchema.parse(fields);
  return change === undefined
    ? {version, resource}
    : {version, resource, change};
}

const bodySchema = z.looseObject({change: changeRecordSchema.optional()});
