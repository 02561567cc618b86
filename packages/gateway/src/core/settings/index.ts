/** The settings of a gateway process, and how they change while it runs. */
export * from './find-region.js';
export * from './running-settings.js';
export * from './setting-effects.js';
export * from './settings-change.js';
export * from './settings-file-watcher.js';
export * from './settings-schema.js';
