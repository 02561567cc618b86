/** Commands of `sapphireglade-operator`. */
export * from './command-context.js';
export * from './completion-script.js';
export * from './explain-command.js';
export * from './hash-key-command.js';
export * from './instance-commands.js';
export * from './resource-commands.js';
export * from './status-command.js';
export * from './timeline-command.js';
export * from './watch-command.js';
