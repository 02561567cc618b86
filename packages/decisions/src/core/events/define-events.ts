/** Value of an event field. */
export type EventFieldValue = string | number | boolean | null;

/** The fields of one kind of event. */
export type EventFieldMap = Readonly<Record<string, EventFieldValue>>;

/** One kind of event in the closed catalogue. */
export interface EventDefinition<Fields> {
  /** Formats the fields as one human-readable sentence. */
  readonly formatMessage: (fields: Fields) => string;
}

/**
 * Declares one kind of event.
 *
 * @param formatMessage - Formats the fields as one human-readable sentence.
 * @returns The definition, for use in a table of kinds.
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
  formatMessage: (fields: Fields) => string,
): EventDefinition<Fields> {
  return {formatMessage};
}
