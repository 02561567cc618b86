import {defineEvent} from '../define-events.js';

/** Events of configuration and membership. */
export const CONFIGURATION_EVENTS = {
  'configuration-accepted': defineEvent<{
    revision: number;
    resource: string;
    version: number;
    by: string;
    reason: string;
  }>(
    ({revision, resource, version, by}) =>
      `The store accepted version ${version} of ${resource} from ${by} as revision ${revision}.`,
  ),
  'configuration-refused': defineEvent<{
    resource: string;
    by: string;
    result: string;
  }>(
    ({resource, by, result}) =>
      `A change of ${resource} from ${by} ended as ${result}.`,
  ),
  'configuration-applied': defineEvent<{revision: number; source: string}>(
    ({revision, source}) =>
      `Configuration ${revision} is applied here, received from ${source}.`,
  ),
  'delegate-began': defineEvent<{zone: string}>(
    ({zone}) => `This proxy reads the store for the zone ${zone} now.`,
  ),
  'delegate-ended': defineEvent<{zone: string}>(
    ({zone}) => `This proxy no longer reads the store for the zone ${zone}.`,
  ),
  'store-lost': defineEvent<Record<string, never>>(
    () => "The platform's store does not answer.",
  ),
  'store-found': defineEvent<{outageMs: number}>(
    ({outageMs}) => `The platform's store answers again after ${outageMs} ms.`,
  ),
  'member-changed': defineEvent<{member: string; state: string}>(
    ({member, state}) => `The proxy ${member} is ${state}.`,
  ),
  'share-taken': defineEvent<{
    group: string;
    instance: string;
    connections: number;
  }>(
    ({group, instance, connections}) =>
      `This proxy may open up to ${connections} connections to ${instance} of ${group}.`,
  ),
  'share-released': defineEvent<{group: string; instance: string}>(
    ({group, instance}) =>
      `This proxy released its connections to ${instance} of ${group}.`,
  ),
} as const;
