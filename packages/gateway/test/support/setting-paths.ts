import * as z from 'zod';
import {gatewaySettingsSchema} from '../../src/index.js';

/** The part of a JSON schema that contains the names of settings. */
interface SchemaNode {
  readonly properties?: Readonly<Record<string, SchemaNode>>;
}

/** Returns the path of each setting of the schema. */
export function settingPaths(): string[] {
  const schema = z.toJSONSchema(gatewaySettingsSchema, {io: 'input'});
  return pathsOf(schema as SchemaNode);
}

function pathsOf(node: SchemaNode, prefix = ''): string[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) =>
    child.properties === undefined
      ? [prefix + name]
      : pathsOf(child, `${prefix}${name}.`),
  );
}
