/**
 * Stores the compiled code of the bundled gateway beside it, so that a process
 * does not compile it at each start. Run it with the flags of the gateway: V8
 * ignores code that was compiled under other flags.
 */
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';

/** Settings that are only validated, so that the code for that is compiled. */
const SETTINGS = {
  name: 'proxy-1',
  availabilityZone: 'zone-1',
  regions: {'zone-1': 'region-1'},
  listen: {
    callers: '127.0.0.1:1',
    readiness: '127.0.0.1:2',
    peers: '127.0.0.1:3',
  },
  capacity: {processorShare: 1, processorCores: 1, linkMbps: 1, memoryMb: 1},
  store: {address: '127.0.0.1:4'},
  promotion: {address: '127.0.0.1:5'},
  maximumCallers: 1,
  stopGraceS: 1,
};

const folder = mkdtempSync(join(tmpdir(), 'sapphireglade-code-'));
const settingsPath = join(folder, 'settings.json');
writeFileSync(settingsPath, JSON.stringify(SETTINGS));
process.argv.push('--settings', settingsPath, '--check');
const {loadGateway, storeCompiledCode} = createRequire(import.meta.url)(
  '../target/load-gateway.cjs',
);
const script = loadGateway();
process.once('exit', () => {
  storeCompiledCode(script);
  rmSync(folder, {recursive: true});
});
