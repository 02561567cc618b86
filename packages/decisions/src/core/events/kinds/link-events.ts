import {defineEvent} from '../define-events.js';

/** Events of the links between proxies. */
export const LINK_EVENTS = {
  'link-opened': defineEvent<{peer: string}>(
    ({peer}) => `The link to ${peer} opened.`,
  ),
  'link-closed': defineEvent<{peer: string; reason: string}>(
    ({peer, reason}) => `The link to ${peer} closed: ${reason}.`,
  ),
} as const;
