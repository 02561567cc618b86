/** Time allowed for reading the store directly once relayed content is too old, in milliseconds. */
const DIRECT_READ_MS = 600;

/** Part of a short limit that is allowed for it. */
const DIRECT_READ_PART = 0.25;

/** Longest interval between two requests to a relaying proxy, in milliseconds. */
export const MAXIMUM_RELAY_INTERVAL_MS = 625;

/** Time allowed for two requests in a row to a relaying proxy and for its own request to the store, in milliseconds. */
const RELAY_TRIPS_MS = 300;

/** Time before the limit at which a directly watched prefix must be confirmed, in milliseconds; a lost response is noticed 0.7 s later and the prefix is read again. */
const DIRECT_WATCH_MARGIN_MS = 1_100;

/** Shortest time for which one confirmation of a watch counts, in milliseconds. */
const MINIMUM_WATCH_AGE_MS = 500;

/**
 * Returns the age up to which relayed content may be used, in milliseconds. The
 * age counts from the moment up to which the store is known to have been read, so
 * it adds up over all proxies on the way.
 *
 * @param withinMs - Time within which a change must be in force, in milliseconds.
 */
export function maximumRelayedAgeMs(withinMs: number): number {
  return withinMs - Math.min(DIRECT_READ_MS, withinMs * DIRECT_READ_PART);
}

/**
 * Returns the age at which a watch of the store must be confirmed, in
 * milliseconds. A proxy that relays confirms its watch earlier, so that the
 * content is young enough when the last proxy asks for it.
 *
 * @param withinMs - Time within which a change must be in force, in milliseconds.
 * @param isRelayed - Whether other proxies receive the content from this one.
 */
export function maximumWatchAgeMs(
  withinMs: number,
  isRelayed: boolean,
): number {
  const latestMs = isRelayed
    ? maximumRelayedAgeMs(withinMs) - MAXIMUM_RELAY_INTERVAL_MS - RELAY_TRIPS_MS
    : withinMs - DIRECT_WATCH_MARGIN_MS;
  return Math.max(MINIMUM_WATCH_AGE_MS, latestMs);
}

/**
 * Returns whether a proxy that follows the store itself may receive its content
 * from another proxy instead.
 *
 * @param ageMs - Age of the content that the other proxy relays, in milliseconds.
 * @param withinMs - Time within which a change must be in force, in milliseconds.
 */
export function canBeginRelay(ageMs: number, withinMs: number): boolean {
  return ageMs + MAXIMUM_RELAY_INTERVAL_MS < maximumRelayedAgeMs(withinMs);
}
