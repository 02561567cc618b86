/** Length-prefixed CBOR frames between proxies. */
export * from './frame-codec.js';
export {hybridTimestampSchema as clockSchema} from './frame-schema.js';
export * from './types.js';
