/** Change of a field. */
export interface FieldChange {
  /** Path of the field, for example `instances.0.state`. */
  readonly path: string;
  /** Value before; undefined if there was none. */
  readonly before: unknown;
  /** Value after; undefined if there is none. */
  readonly after: unknown;
}

/**
 * Returns the fields in which two resources differ.
 *
 * @param before - The resource before; null if there was none.
 * @param after - The resource after; null if there is none.
 */
export function diffResources(before: unknown, after: unknown): FieldChange[] {
  const beforeFields = flattenFields(before);
  const afterFields = flattenFields(after);
  const paths = new Set([...beforeFields.keys(), ...afterFields.keys()]);
  return [...paths]
    .filter(path => beforeFields.get(path) !== afterFields.get(path))
    .sort()
    .map(path => ({
      path,
      before: beforeFields.get(path),
      after: afterFields.get(path),
    }));
}

/**
 * Formats changes as lines with `-` and `+`.
 *
 * @param changes - Result of {@link diffResources}.
 */
export function formatDiff(changes: readonly FieldChange[]): string[] {
  return changes.flatMap(({path, before, after}) => {
    const lines: string[] = [];
    if (before !== undefined) lines.push(`  - ${path}: ${formatValue(before)}`);
    if (after !== undefined) lines.push(`  + ${path}: ${formatValue(after)}`);
    return lines;
  });
}

/** Returns the primitive values within a value by their paths. */
function flattenFields(value: unknown, path = ''): Map<string, unknown> {
  const leaves = new Map<string, unknown>();
  if (value === null || value === undefined) return leaves;
  if (typeof value !== 'object') return leaves.set(path, value);
  for (const [name, child] of Object.entries(value)) {
    const childPath = path === '' ? name : `${path}.${name}`;
    for (const [leaf, found] of flattenFields(child, childPath)) {
      leaves.set(leaf, found);
    }
  }
  return leaves;
}

function formatValue(value: unknown): string {
  return JSON.stringify(value) ?? '';
}
