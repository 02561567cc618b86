import {fileURLToPath} from 'node:url';

/** Path of the command-line program of the stand-ins. */
export const STAND_INS_PROGRAM_PATH = fileURLToPath(
  new URL('../../../../bin/stand-ins.js', import.meta.url),
);
