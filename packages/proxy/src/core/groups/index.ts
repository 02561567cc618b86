/** Cached views of the groups. */
export * from './group-views.js';
