/** The context shared by all tasks of the proxy. */
export type * from './proxy-context.js';
