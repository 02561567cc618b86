/** Decides whether an instance may receive new statements while instances leave. */
export * from './decide-instance-use.js';
