/** In-memory models of the store and of a replicated group, and links, for the tests of all packages. */
export {
  refuseUnsendable,
  sendCommand,
  synchronizeSession,
} from '../../src/core/sessions/command-result.js';
export {
  carryErrorOverLink,
  carryReplyOverLink,
  carryRequestOverLink,
} from './link-crossing.js';
export {GROUP, LinkedProxy, publish, requestOf} from './linked-proxy.js';
export type {Change, LogEntry} from './memory-group.js';
export {MemoryGroup, MemoryInstance} from './memory-group.js';
export type {StoreBackup} from './memory-store.js';
export {MemoryStoreState} from './memory-store.js';
