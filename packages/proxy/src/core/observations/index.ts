/** Status observations of the instances that this process watches. */
export * from './instance-observations.js';
export * from './instance-watcher.js';
