/** Decides what a stopping process does with the requests that it has accepted. */
export * from './drain-schedule.js';
export * from './decide-connection-action.js';
