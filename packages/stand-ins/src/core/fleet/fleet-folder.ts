import {mkdtempSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {basename, join} from 'node:path';

/** Environment variable with the folder in which the test runner keeps logs. */
const LOG_FOLDER_VARIABLE = 'SAPPHIREGLADE_TEST_LOGS';

/**
 * Creates the folder for the settings and logs of a fleet. Under the test
 * runner its name starts with the test file's name so that the runner finds it.
 *
 * @param prefix - Prefix of the name if no test runner keeps logs.
 */
export function createFleetFolder(prefix: string): string {
  const logsFolder = process.env[LOG_FOLDER_VARIABLE];
  if (logsFolder === undefined) return mkdtempSync(join(tmpdir(), prefix));
  return mkdtempSync(
    join(logsFolder, `${basename(process.argv[1] ?? prefix)}-`),
  );
}

/**
 * Removes the folder of a stopped fleet. Under the test runner the folder is
 * kept, since the runner needs the logs if the test file fails.
 *
 * @param folder - Path of the folder.
 */
export function removeFleetFolder(folder: string): void {
  if (process.env[LOG_FOLDER_VARIABLE] !== undefined) return;
  rmSync(folder, {recursive: true, force: true});
}
