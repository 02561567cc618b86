import type {ConsolaReporter, LogObject} from 'consola';
import {createConsola} from 'consola';
import type {LogFields, Logger, LoggerFactory} from './types.js';
import {LogFormat, LogLevel} from './types.js';

/** Level numbers of consola. */
const CONSOLA_LEVELS: Readonly<Record<LogLevel, number>> = {
  [LogLevel.Error]: 0,
  [LogLevel.Warning]: 1,
  [LogLevel.Information]: 3,
  [LogLevel.Debug]: 4,
};

/** Types of entries that go before routine ones. */
const URGENT_TYPES: ReadonlySet<string> = new Set(['error', 'fatal', 'warn']);

/** What the log of a process needs to know. */
export interface LoggingOptions {
  /** How much is logged; read at each line, so that it may change. */
  readonly level: LogLevel;
  /** How lines are written. */
  readonly format: LogFormat;
  /** Name of the process, added to each JSON line. */
  readonly process: string;
  /** Receives each finished line; standard error if left out. */
  readonly write?: (line: string, isRoutine: boolean) => void;
}

/**
 * Makes the logger factory of a process.
 *
 * @param options - Level, format and name of the process.
 * @returns A function that gives each part its logger.
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
      error: (sentence, fields) => tagged.error(sentence, fields ?? {}),
      warn: (sentence, fields) => {
        if (isLogged(LogLevel.Warning)) tagged.warn(sentence, fields ?? {});
      },
      info: (sentence, fields) => {
        if (isLogged(LogLevel.Information)) tagged.info(sentence, fields ?? {});
      },
      debug: (sentence, fields) => {
        if (isLogged(LogLevel.Debug)) tagged.debug(sentence, fields ?? {});
      },
    };
  };
}

/** A logger that writes nothing, for tests. */
export function createSilentLogger(): Logger {
  const ignore = (): void => undefined;
  return {error: ignore, warn: ignore, info: ignore, debug: ignore};
}

/** Chooses how a log entry becomes a line. */
function createReporter(
  options: LoggingOptions,
  write: (line: string, isRoutine: boolean) => void,
): ConsolaReporter {
  const toLine = options.format === LogFormat.Json ? toJsonLine : toTextLine;
  return {
    log: entry =>
      write(toLine(entry, options.process), !URGENT_TYPES.has(entry.type)),
  };
}

/** Writes an entry as one JSON object. */
function toJsonLine(entry: LogObject, processName: string): string {
  const [sentence, fields] = entry.args as [string, LogFields];
  return JSON.stringify({
    time: entry.date.toISOString(),
    level: entry.type,
    process: processName,
    part: entry.tag,
    message: sentence,
    ...fields,
  });
}

/** Writes an entry as text with the prefix of its part. */
function toTextLine(entry: LogObject): string {
  const [sentence, fields] = entry.args as [string, LogFields];
  const details = Object.entries(fields)
    .filter(([, value]) => value !== undefined)
    .map(([name, value]) => ` ${name}=${String(value)}`)
    .join('');
  const time = entry.date.toISOString();
  return `${time} ${entry.type} [${entry.tag}] ${sentence}${details}`;
}
