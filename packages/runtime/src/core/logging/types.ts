/** The parts of the system that write logs; the name of a part prefixes its lines. */
export const LogPart = {
  Process: 'process',
  Supervisor: 'supervisor',
  CallerApi: 'caller-api',
  OperatorApi: 'operator-api',
  Upstream: 'upstream',
  Pool: 'pool',
  Routing: 'routing',
  Failover: 'failover',
  Configuration: 'configuration',
  Membership: 'membership',
  Store: 'store',
  Link: 'link',
  Timeline: 'timeline',
  StandIn: 'stand-in',
  Measure: 'measure',
} as const;

/** A part of the system that writes logs. */
export type LogPart = (typeof LogPart)[keyof typeof LogPart];

/** Log levels, from least to most verbose. */
export const LogLevel = {
  Error: 'error',
  Warning: 'warning',
  Information: 'information',
  Debug: 'debug',
} as const;

/** A log level. */
export type LogLevel = (typeof LogLevel)[keyof typeof LogLevel];

/** Formats of log lines. */
export const LogFormat = {
  /** One line of text per entry, for people. */
  Text: 'text',
  /** One JSON object per entry, for programs. */
  Json: 'json',
} as const;

/** A format of log lines. */
export type LogFormat = (typeof LogFormat)[keyof typeof LogFormat];

/** Structured fields of a log entry. */
export type LogFields = Readonly<
  Record<string, string | number | boolean | null | undefined>
>;

/** Writes the log lines of one part. */
export interface Logger {
  /** Logs a failure that requires an operator. */
  error(message: string, fields?: LogFields): void;
  /** Logs a failure from which the process recovers by itself. */
  warn(message: string, fields?: LogFields): void;
  /** Logs an event that is of interest to operators. */
  info(message: string, fields?: LogFields): void;
  /** Logs a detail for developers. */
  debug(message: string, fields?: LogFields): void;
}

/** Creates the logger of a part. */
export type LoggerFactory = (part: LogPart) => Logger;
