/**
 * Runs every compiled test file with the test runner of Node.js. Failures of
 * tests that KNOWN-RED.txt lists by name are printed and ignored; any other
 * failure ends the run with exit code 1. The logs of the processes started by a
 * test file are kept if one of its tests failed.
 *
 * Usage: node scripts/run-tests.js [part of a file path ...]
 */
import {
  existsSync,
  mkdtempSync,
  readdirSync,
  readFileSync,
  rmSync,
} from 'node:fs';
import {availableParallelism, tmpdir} from 'node:os';
import {basename, join} from 'node:path';
import process from 'node:process';
import {run} from 'node:test';
import {spec} from 'node:test/reporters';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('..', import.meta.url));
const SOURCE_SUFFIX = '.test.ts';
const COMPILED_SUFFIX = '.test.js';
const FILE_TIMEOUT_MS = 600_000;
const MAXIMUM_CONCURRENCY = 3;

/** Environment variable that passes the log folder to the test files. */
const LOGS_VARIABLE = 'SAPPHIREGLADE_TEST_LOGS';

const filters = process.argv.slice(2);
const files = findTests().filter(
  file => filters.length === 0 || filters.some(part => file.includes(part)),
);
if (files.length === 0) {
  console.error('No test file matches.');
  process.exit(1);
}

const knownFailures = readKnownFailures();
const ignoredFailures = [];
const failedFiles = new Set();
let unexpectedFailures = 0;

const logFolder = mkdtempSync(join(tmpdir(), 'sapphireglade-tests-'));
process.env[LOGS_VARIABLE] = logFolder;

const stream = run({
  files,
  concurrency: Math.min(MAXIMUM_CONCURRENCY, availableParallelism()),
  timeout: FILE_TIMEOUT_MS,
});
stream.on('test:fail', event => {
  const isSuite =
    event.details.type === 'suite' ||
    event.details.error?.failureType === 'subtestsFailed';
  failedFiles.add(basename(event.file ?? event.name));
  if (isSuite) return;
  if (knownFailures.has(event.name)) {
    ignoredFailures.push(event.name);
    return;
  }
  unexpectedFailures += 1;
});
stream.on('close', () => {
  for (const name of ignoredFailures)
    console.log(`Known red, passed over: ${name}`);
  keepLogsOfFailedFiles();
  process.exitCode = unexpectedFailures === 0 ? 0 : 1;
});
stream.compose(spec).pipe(process.stdout);

/** Returns the paths of the compiled tests, one for each test source. */
function findTests() {
  const packages = join(ROOT, 'packages');
  return [
    ...readdirSync(packages).map(name => join(packages, name)),
    join(ROOT, 'platform'),
  ]
    .filter(folder => existsSync(join(folder, 'test')))
    .flatMap(folder =>
      readdirSync(join(folder, 'test'), {recursive: true})
        .filter(name => name.endsWith(SOURCE_SUFFIX))
        .map(name => name.slice(0, -SOURCE_SUFFIX.length) + COMPILED_SUFFIX)
        .map(name => join(folder, 'dist', 'test', name)),
    )
    .sort();
}

/** Removes the logs of files without failures and prints the other folders. */
function keepLogsOfFailedFiles() {
  for (const name of readdirSync(logFolder)) {
    const isKept = [...failedFiles].some(file => name.startsWith(`${file}-`));
    const folder = join(logFolder, name);
    if (isKept)
      console.log(`Logs of the processes of a failed test: ${folder}`);
    else rmSync(folder, {recursive: true, force: true});
  }
  if (readdirSync(logFolder).length === 0) rmSync(logFolder, {recursive: true});
}

/** Reads the test names that KNOWN-RED.txt lists in lines with "test:". */
function readKnownFailures() {
  const path = join(ROOT, 'KNOWN-RED.txt');
  if (!existsSync(path)) return new Set();
  const lines = readFileSync(path, 'utf8').split('\n');
  const prefix = 'test:';
  return new Set(
    lines
      .filter(line => line.startsWith(prefix))
      .map(line => line.slice(prefix.length).trim()),
  );
}
