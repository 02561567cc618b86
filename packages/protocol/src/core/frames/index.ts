/** Length-prefixed CBOR frames between proxies. */
export * from './frame-codec.js';
export * from './frame-errors.js';
export {hybridTimestampSchema} from './frame-schema.js';
export * from './types.js';
