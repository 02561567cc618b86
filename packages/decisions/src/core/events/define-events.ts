/** A value that a field of an event may have. */
export type EventFieldValue = string | number | boolean | null;

/** The fields of one kind of event. */
export type EventFieldMap = Readonly<Record<string, EventFieldValue>>;

/** One kind of event in the closed catalogue. */
export interface EventDefinition<Fields> {
  /** Turns the fields into one sentence for people. */
  readonly formatMessage: (fields: Fields) => string;
}

/**
 * Declares one kind of event.
 *
 * @param sentence - Turns the fields into one sentence for people.
 * @returns The definition, for a table of kinds.
 *
 * @example
 * ```ts
 * export const LINK_EVENTS = {
 *   'link-opened': defineEvent<{peer: string}>(
 *     ({peer}) => `The link to ${peer} opened.`,
 *   ),
 * } as const;
 * ```
 */
export function defineEvent<Fields extends EventFieldMap>(
  sentence: (fields: Fields) => string,
): EventDefinition<Fields> {
  return {formatMessage: sentence};
}
