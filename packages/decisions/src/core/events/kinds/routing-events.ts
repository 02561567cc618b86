/** Events of routing, admission and connections. */
export const ROUTING_EVENTS = {} as const;
