/**
 * Stores the compiled code of the bundled gateway beside it, so that a process
 * does not compile it at each start. Run it with the flags of the gateway: V8
 * ignores code that was compiled under other flags.
 */
import {createRequire} from 'node:module';
import {setFlagsFromString} from 'node:v8';

const {compileGateway, storeCompiledCode} = createRequire(import.meta.url)(
  '../target/load-gateway.cjs',
);

// Functions that no start calls are needed by the first requests after it.
setFlagsFromString('--no-lazy');
const script = compileGateway();
// The flags are stored with the code and compared with those of the gateway.
setFlagsFromString('--lazy');
storeCompiledCode(script);
