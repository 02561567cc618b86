/** Output as tables for people and JSON for programs. */
export * from './operator-console.js';
export * from './resource-diff.js';
export * from './format-status.js';
export * from './table.js';
