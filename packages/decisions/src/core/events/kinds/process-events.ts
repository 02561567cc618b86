import {defineEvent} from '../define-events.js';

/** Lifecycle events of a process and its tasks. */
export const PROCESS_EVENTS = {
  'process-started': defineEvent<{version: string}>(
    ({version}) => `The proxy started (version ${version}).`,
  ),
  'process-ready': defineEvent<{revision: number}>(
    ({revision}) => `The proxy is ready with configuration ${revision}.`,
  ),
  'process-stopping': defineEvent<{reason: string}>(
    ({reason}) => `The proxy is stopping: ${reason}.`,
  ),
  'task-restarted': defineEvent<{task: string; reason: string}>(
    ({task, reason}) => `The task ${task} was restarted: ${reason}.`,
  ),
} as const;
