import type {z} from 'zod';

/** Longest part of a wrong value that is shown, in characters. */
const MAXIMUM_FORMATTED_VALUE_LENGTH = 60;

/**
 * Describes one finding of a schema for people.
 *
 * @param issue - The finding.
 * @returns The field, what was found and what is allowed.
 */
export function formatValidationIssue(issue: z.core.$ZodIssue): string {
  const field = issue.path.map(String).join('.') || '(top level)';
  const found = 'input' in issue ? ` Found: ${formatValue(issue.input)}.` : '';
  return `${field}: ${issue.message}.${found}`;
}

/** Shows a value on one line, cut to a readable length. */
function formatValue(value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing';
  if (text.length <= MAXIMUM_FORMATTED_VALUE_LENGTH) return text;
  return `${text.slice(0, MAXIMUM_FORMATTED_VALUE_LENGTH)}…`;
}
