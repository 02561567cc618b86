/** Length-prefixed CBOR frames between proxies. */
export * from './frame-codec.js';
export {clockSchema} from './frame-schema.js';
export * from './types.js';
