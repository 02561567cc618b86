import type {ConsolaReporter, LogObject} from 'consola';
import {createConsola} from 'consola';
import type {LogFields, Logger, LoggerFactory} from './types.js';
import type {LineClass} from './non-blocking-log-writer.js';
import {LineKind} from './non-blocking-log-writer.js';
import {LogFormat, LogLevel, LogPart} from './types.js';

/** The consola level for each log level. */
const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warning]: 1,
  [LogLevel.Information]: 3,
  [LogLevel.Debug]: 4,
};

/** Types of log entries that take precedence over routine ones. */
const URGENT_TYPES: ReadonlySet<string> = new Set(['error', 'fatal', 'warn']);

/** Kinds of the lines of parts that do not share the budget of all others. */
const KINDS_OF_PARTS: ReadonlyMap<string, LineKind> = new Map([
  [LogPart.CallerApi, LineKind.Statement],
  [LogPart.Routing, LineKind.Statement],
  [LogPart.Failover, LineKind.PrimaryChange],
  [LogPart.Upstream, LineKind.Instance],
]);

/** Options of a process's log. */
export interface LoggingOptions {
  /** Least urgent level that is logged; read for each line, so that it may change. */
  readonly level: LogLevel;
  /** Format of the log lines. */
  readonly format: LogFormat;
  /** Name of the process, added to each JSON line. */
  readonly process: string;
  /** Writes each formatted line; writes to standard error if omitted. */
  readonly write?: (line: string, lineClass: LineClass) => void;
}

/**
 * Creates the logger factory of a process.
 *
 * @param options - Level, format and name of the process.
 * @returns A function that creates the logger of a part.
 *
 * @example
 * ```ts
 * const log = createLoggerFactory(options)(LogPart.Link);
 * log.info('The link opened.', {peer: 'entry-2'});
 * ```
 */
export function createLoggerFactory(options: LoggingOptions): LoggerFactory {
  const write =
    options.write ?? ((line: string) => process.stderr.write(line + '\n'));
  const consola = createConsola({
    level: CONSOLA_LEVELS[LogLevel.Debug],
    reporters: [createReporter(options, write)],
  });
  const isLogged = (level: LogLevel): boolean =>
    CONSOLA_LEVELS[level] <= CONSOLA_LEVELS[options.level];
  return part => {
    const tagged = consola.withTag(part);
    return {
      error: (message, fields) => tagged.error(message, fields ?? {}),
      warn: (message, fields) => {
        if (isLogged(LogLevel.Warning)) tagged.warn(message, fields ?? {});
      },
      info: (message, fields) => {
        if (isLogged(LogLevel.Information)) tagged.info(message, fields ?? {});
      },
      debug: (message, fields) => {
        if (isLogged(LogLevel.Debug)) tagged.debug(message, fields ?? {});
      },
    };
  };
}

/** Creates a logger that discards all entries, for tests. */
export function createSilentLogger(): Logger {
  const ignore = (): void => undefined;
  return {error: ignore, warn: ignore, info: ignore, debug: ignore};
}

/** Creates the reporter that formats log entries and writes them. */
function createReporter(
  options: LoggingOptions,
  write: (line: string, lineClass: LineClass) => void,
): ConsolaReporter {
  const toLine = options.format === LogFormat.Json ? toJsonLine : toTextLine;
  return {
    log: entry =>
      write(toLine(entry, options.process), {
        isRoutine: !URGENT_TYPES.has(entry.type),
        kind: KINDS_OF_PARTS.get(entry.tag) ?? LineKind.Other,
      }),
  };
}

/** Formats an entry as one JSON object. */
function toJsonLine(entry: LogObject, processName: string): string {
  const [message, fields] = entry.args as [string, LogFields];
  return JSON.stringify({
    time: entry.date.toISOString(),
    level: entry.type,
    process: processName,
    part: entry.tag,
    message,
    ...fields,
  });
}

/** Formats an entry as text with the prefix of its part. */
function toTextLine(entry: LogObject): string {
  const [message, fields] = entry.args as [string, LogFields];
  const details = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${quoteIfNeeded(String(value))}`)
    .join('');
  const time = entry.date.toISOString();
  return `${time} ${entry.type} [${entry.tag}] ${message}${details}`;
}

/** Quotes a value that would not be read as one word of one line. */
function quoteIfNeeded(value: string): string {
  return /^[^\s"=\\\p{Cc}]*$/u.test(value) ? value : JSON.stringify(value);
}
