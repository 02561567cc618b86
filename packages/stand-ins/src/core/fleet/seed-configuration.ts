import {randomUUID} from 'node:crypto';
import type {Resource} from '@sapphireglade/decisions';
import {resourceKey} from '@sapphireglade/decisions';
import type {
  GetResponse,
  CompareAndSwapResponse,
} from '@sapphireglade/protocol';
import {
  getResponseSchema,
  compareAndSwapResponseSchema,
} from '@sapphireglade/protocol';
import {request} from 'undici';
import type {z} from 'zod';

const HEAD_KEY = 'sapphireglade/head';
const WRITER_NAME = 'launcher';

/**
 * Writes the first configuration to an empty store: the body of each resource
 * under its own key, then the head that refers to them.
 *
 * @param storeUrl - Origin of the store.
 * @param resources - Resources of revision 1.
 */
export async function seedConfiguration(
  storeUrl: string,
  resources: readonly Resource[],
): Promise<void> {
  const head: GetResponse = await post(
    storeUrl,
    '/get',
    {key: HEAD_KEY},
    getResponseSchema,
  );
  if (head.version !== 0)
    throw new Error('The store already has a configuration.');
  const index: Record<string, {version: number; body: string}> = {};
  for (const resource of resources) {
    const key = resourceKey(resource.kind, resource.name);
    const body = `sapphireglade/body/${key}/1-${WRITER_NAME}`;
    await createKey(storeUrl, body, resource);
    index[key] = {version: 1, body};
  }
  const writeId = randomUUID();
  await createKey(storeUrl, HEAD_KEY, {revision: 1, index, writeId});
}

async function createKey(
  storeUrl: string,
  key: string,
  value: unknown,
): Promise<void> {
  const body = {key, expectedVersion: 0, value: JSON.stringify(value)};
  const answer: CompareAndSwapResponse = await post(
    storeUrl,
    '/compare-and-swap',
    body,
    compareAndSwapResponseSchema,
  );
  if (!answer.swapped) throw new Error(`The store already has ${key}.`);
}

async function post<Schema extends z.ZodType>(
  origin: string,
  path: string,
  body: unknown,
  schema: Schema,
): Promise<z.infer<Schema>> {
  const response = await request(`${origin}${path}`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(body),
  });
  return schema.parse(await response.body.json());
}
