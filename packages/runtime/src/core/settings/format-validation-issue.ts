import type {z} from 'zod';

/** Longest displayed part of an invalid value, in characters. */
const MAXIMUM_FORMATTED_VALUE_LENGTH = 60;

/**
 * Formats one validation issue for people.
 *
 * @param issue - The validation issue.
 * @returns The field, the value that was found and what is allowed.
 */
export function formatValidationIssue(issue: z.core.$ZodIssue): string {
  const field = issue.path.map(String).join('.') || '(top level)';
  const found = 'input' in issue ? ` Found: ${formatValue(issue.input)}.` : '';
  return `${field}: ${issue.message}.${found}`;
}

/** Formats a value on one line, truncated to a readable length. */
function formatValue(value: unknown): string {
  const text = JSON.stringify(value) ?? 'nothing';
  if (text.length <= MAXIMUM_FORMATTED_VALUE_LENGTH) return text;
  return `${text.slice(0, MAXIMUM_FORMATTED_VALUE_LENGTH)}…`;
}
