/** Frames, links and messages between proxies, and the schemas of all interfaces. */
export * from './core/caller/index.js';
export * from './core/frames/index.js';
export * from './core/links/index.js';
export * from './core/messages/index.js';
export * from './core/operator/index.js';
export * from './core/store/index.js';
export * from './core/timeline/index.js';
export * from './core/upstream/index.js';
export * from './core/vm-list/index.js';
