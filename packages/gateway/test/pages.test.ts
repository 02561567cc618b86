import {readFileSync} from 'node:fs';
import {describe, it} from 'node:test';
import {expect} from 'earl';
import * as z from 'zod';
import {
  GATEWAY_COUNTERS,
  GATEWAY_DURATIONS,
  GATEWAY_GAUGES,
  gatewaySettingsSchema,
} from '../src/index.js';

const PAGE = readFileSync(
  new URL('../../../../docs/GATEWAY.md', import.meta.url),
  'utf8',
);

/** The part of a JSON schema that names settings. */
interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
}

/** Each setting by its path. */
function pathsOf(node: SchemaNode, prefix = ''): string[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) =>
    child.properties === undefined
      ? [prefix + name]
      : pathsOf(child, `${prefix}${name}.`),
  );
}

/** What stands as code in the first cell of each row of a section. */
function firstCells(heading: string): string[] {
  const section = PAGE.split(`## ${heading}`)[1]?.split('\n## ')[0] ?? '';
  return [...section.matchAll(/^\| `([^`]+)`/gm)].map(([, name]) => name!);
}

describe('docs/GATEWAY.md', () => {
  it('lists every setting and no other', () => {
    const schema = z.toJSONSchema(gatewaySettingsSchema, {io: 'input'});
    expect(firstCells('Settings reference')).toEqual(
      pathsOf(schema as SchemaNode),
    );
  });

  it('lists every metric of the catalogue and no other', () => {
    const known = Object.keys({
      ...GATEWAY_COUNTERS,
      ...GATEWAY_DURATIONS,
      ...GATEWAY_GAUGES,
    });
    expect(firstCells('Metrics')).toEqual(known);
  });
});
