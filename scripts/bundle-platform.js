/**
 * Bundles the gateway and its platform adapter into one file under target/, and
 * its loader into another. The bundle starts several times faster than the
 * separate packages. `cache-platform-code.js` adds the compiled code.
 */
import {rmSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {build} from 'esbuild';

const ROOT = fileURLToPath(new URL('..', import.meta.url));

const PACKAGES = ['decisions', 'runtime', 'protocol', 'gateway'];

/** Plugin that leaves out the unused WebAssembly build of the histograms. */
const WITHOUT_WEB_ASSEMBLY = {
  name: 'without-web-assembly',
  setup(bundler) {
    bundler.onResolve({filter: /^\.\/wasm$/}, ({importer}) =>
      importer.includes('hdr-histogram-js')
        ? {path: 'wasm', namespace: 'left-out'}
        : undefined,
    );
    bundler.onLoad({filter: /.*/, namespace: 'left-out'}, () => ({
      contents: 'export const WasmHistogram = undefined;',
    }));
  },
};

// V8 compares stored code only with the length of the script.
rmSync(`${ROOT}/target/sapphireglade-gateway.cjs.code`, {force: true});

await build({
  absWorkingDir: ROOT,
  entryPoints: {
    'sapphireglade-gateway': 'platform/src/main.ts',
    'load-gateway': 'platform/src/load-gateway.ts',
  },
  outdir: 'target',
  outExtension: {'.js': '.cjs'},
  bundle: true,
  platform: 'node',
  target: 'node20',
  // V8 stores compiled code only of scripts, not of ES modules.
  format: 'cjs',
  minify: true,
  keepNames: true,
  alias: {
    ...Object.fromEntries(
      PACKAGES.map(name => [
        `@sapphireglade/${name}`,
        `./packages/${name}/src/index.ts`,
      ]),
    ),
    // Only the ES modules of RxJS allow the bundler to drop unused code.
    rxjs: './node_modules/rxjs/dist/esm/index.js',
    consola: './node_modules/consola/dist/core.mjs',
    // Without the native string decoder, whose loader starts slowly.
    'cbor-x': './node_modules/cbor-x/index.js',
    'hdr-histogram-js':
      './node_modules/hdr-histogram-js/dist/HistogramBuilder.js',
  },
  plugins: [WITHOUT_WEB_ASSEMBLY],
  logLevel: 'warning',
});
