import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {describe, it} from 'node:test';
import {fileURLToPath} from 'node:url';
import {expect} from 'earl';
import {z} from 'zod';
import {
  COUNTERS,
  DURATIONS,
  GAUGES,
  proxySettingsSchema,
} from '../../src/index.js';

const ROOT = fileURLToPath(new URL('../../../../../', import.meta.url));
const OPERATIONS = readFileSync(join(ROOT, 'docs', 'OPERATIONS.md'), 'utf8');

/** The fields of a JSON schema that the settings reference lists. */
interface SchemaNode {
  readonly type?: string;
  readonly properties?: Readonly<Record<string, SchemaNode>>;
  readonly items?: SchemaNode;
  readonly required?: readonly string[];
  readonly default?: unknown;
  readonly minimum?: number;
  readonly maximum?: number;
  readonly enum?: readonly string[];
}

describe('docs/OPERATIONS.md', () => {
  it('lists every setting with its default, and no other', () => {
    const schema = z.toJSONSchema(proxySettingsSchema, {io: 'input'});
    const settings = describeSettings(schema as SchemaNode);
    const rows = [...OPERATIONS.matchAll(/^\| `([a-zA-Z.[\]]+)` +\|.*$/gm)]
      .map(([row]) => row.split('|').map(cell => cell.trim()))
      .filter(cells => cells.length === 6)
      .map(cells => `${cells[1]} ${cells[3]}`.replaceAll('`', ''));
    expect(rows).toEqual(settings);
  });

  it('states the range and the values of each setting', () => {
    for (const text of rangesOf(
      z.toJSONSchema(proxySettingsSchema, {io: 'input'}) as SchemaNode,
    )) {
      expect(OPERATIONS).toInclude(text);
    }
  });

  it('shows settings that are valid', () => {
    const [, example] = /```json\n([^`]+)```/.exec(OPERATIONS) ?? [];
    const parsed = proxySettingsSchema.safeParse(JSON.parse(example ?? ''));
    expect(parsed.error?.issues ?? []).toEqual([]);
  });

  it('names only metrics of the catalogue', () => {
    const known = Object.keys({...COUNTERS, ...DURATIONS, ...GAUGES});
    const named = OPERATIONS.match(/sapphireglade_[a-z_]+/g) ?? [];
    const unknown = named.filter(name => !known.includes(name));
    expect(unknown).toEqual([]);
  });
});

describe('links between pages', () => {
  for (const page of listPages()) {
    it(`resolve in ${page}`, () => {
      const text = readFileSync(join(ROOT, page), 'utf8');
      const targets = [...text.matchAll(/\]\(([^)\s]+)\)/g)]
        .map(([, target]) => target!.split('#')[0]!)
        .filter(target => target !== '' && !target.includes('://'));
      const broken = targets.filter(
        target => !existsSync(join(ROOT, dirname(page), target)),
      );
      expect(broken).toEqual([]);
    });
  }
});

describe('files that pages name', () => {
  for (const page of listPages()) {
    it(`exist for ${page}`, () => {
      const text = readFileSync(join(ROOT, page), 'utf8');
      const named = [...text.matchAll(/\b(?:packages|scripts)\/[\w./-]+\w/g)];
      const missing = named
        .map(([path]) => path)
        .filter(path => /\.(ts|js|json)$/.test(path))
        .filter(path => !existsSync(join(ROOT, path)));
      expect(missing).toEqual([]);
    });
  }
});

/** Lists each setting as "path default". */
function describeSettings(node: SchemaNode, path = ''): string[] {
  return Object.entries(node.properties ?? {}).flatMap(([name, child]) => {
    const childPath = `${path}${name}`;
    if (child.properties !== undefined) {
      return describeSettings(child, `${childPath}.`);
    }
    const isRequired = node.required?.includes(name) === true;
    const fallback = isRequired ? 'required' : showDefault(child.default);
    const elements =
      child.items === undefined
        ? []
        : describeSettings(child.items, `${childPath}[].`);
    return [`${childPath} ${fallback}`, ...elements];
  });
}

/** Lists each range as "minimum to maximum" and each enum value as code. */
function rangesOf(node: SchemaNode): string[] {
  const children = Object.values(node.properties ?? {}).flatMap(rangesOf);
  const items = node.items === undefined ? [] : rangesOf(node.items);
  const range =
    node.maximum === undefined ? [] : [`${node.minimum} to ${node.maximum}`];
  const values = (node.enum ?? []).map(value => `\`${value}\``);
  return [...children, ...items, ...range, ...values];
}

function showDefault(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}

/** Lists the pages of the project by their paths from the root. */
function listPages(): string[] {
  const inDocs = readdirSync(join(ROOT, 'docs'), {recursive: true})
    .map(String)
    .filter(name => name.endsWith('.md'))
    .map(name => join('docs', name));
  return ['README.md', 'CONTRIBUTING.md', 'CHANGELOG.md', ...inDocs];
}
