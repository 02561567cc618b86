/** Records outcomes received by callers and checks them against the logs. */
export * from './check-history.js';
export * from './collect-instance-histories.js';
export * from './history-recorder.js';
export * from './types.js';
