/** In-memory models of the store and of a replicated group, for the tests of all packages. */
export type {Change, LogEntry} from './memory-group.js';
export {MemoryGroup, MemoryInstance} from './memory-group.js';
export type {StoreBackup} from './memory-store.js';
export {MemoryStoreState} from './memory-store.js';
