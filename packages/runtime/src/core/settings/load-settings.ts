import {readFileSync} from 'node:fs';
import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {z} from 'zod';
import {formatValidationIssue} from './format-validation-issue.js';

/**
 * Reads and validates a settings file.
 *
 * @param path - Path of the JSON file.
 * @param schema - The schema of the settings.
 * @returns The settings, with defaults filled in.
 * @throws SapphiregladeError of kind `settings-invalid`, whose message names
 *   the file, each invalid field, the value that was found and what is allowed.
 */
export function loadSettings<Schema extends z.ZodType>(
  path: string,
  schema: Schema,
): z.infer<Schema> {
  const parsed = parseJson(path, readFile(path));
  const result = schema.safeParse(parsed, {reportInput: true});
  if (result.success) return result.data;
  const lines = result.error.issues.map(
    issue => `  ${formatValidationIssue(issue)}`,
  );
  throw new SapphiregladeError(
    ErrorKind.SettingsInvalid,
    `The settings in ${path} are not valid:\n${lines.join('\n')}`,
    {field: result.error.issues[0]?.path.join('.')},
  );
}

/** Reads the file; throws with the reason if it cannot be read. */
function readFile(path: string): string {
  try {
    return readFileSync(path, 'utf8');
  } catch (cause) {
    throw new SapphiregladeError(
      ErrorKind.SettingsInvalid,
      `The settings file ${path} cannot be read: ${String(cause)}`,
      {cause},
    );
  }
}

/** Parses the text; throws with the position of the first error if it is not JSON. */
function parseJson(path: string, text: string): unknown {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new SapphiregladeError(
      ErrorKind.SettingsInvalid,
      `The settings file ${path} is not JSON: ${String(cause)}`,
      {cause},
    );
  }
}
