import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {basename, join} from 'node:path';

/** Variable that names the folder in which the test runner keeps logs. */
const LOG_FOLDER_VARIABLE = 'SAPPHIREGLADE_TEST_LOGS';

/**
 * Makes the folder of the settings and logs of a fleet. Under the test runner
 * its name begins with the test file, so that the runner finds it.
 *
 * @param prefix - First part of the name where no runner keeps logs.
 */
export function createFleetFolder(prefix: string): string {
  const kept = process.env[LOG_FOLDER_VARIABLE];
  if (kept === undefined) return mkdtempSync(join(tmpdir(), prefix));
  return mkdtempSync(join(kept, `${basename(process.argv[1] ?? prefix)}-`));
}

/**
 * Removes the folder of a fleet that has stopped; under the test runner it
 * stays until the verdict on the test file is known.
 *
 * @param folder - The folder.
 */
export function removeFleetFolder(folder: string): void {
  if (process.env[LOG_FOLDER_VARIABLE] !== undefined) return;
  rmSync(folder, {recursive: true, force: true});
}
