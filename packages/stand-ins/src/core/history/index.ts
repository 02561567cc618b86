/** Records what callers were told and checks it against the instances. */
export * from './check-history.js';
export * from './collect-instance-histories.js';
export * from './history-recorder.js';
export * from './types.js';
