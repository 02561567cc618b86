import {Outcome} from '@sapphireglade/decisions';
import type {CallerResponse, SqlValue} from '@sapphireglade/protocol';
import type {
  CallerClient,
  CallerRequest,
  CallerResult,
} from '../fleet/index.js';
import type {RecordedRead, RecordedWrite} from './types.js';

/** Table that contains the bookings. */
const TABLE = 'bookings';

/** Parameters of a booking or of its read. */
export interface BookingOptions {
  readonly group: string;
  readonly key: string;
  readonly idempotent?: boolean;
  readonly deadlineMs?: number;
  readonly session?: string;
}

/** Result that a caller received for a booking. */
export interface BookingResult {
  readonly outcome: Outcome;
  /** Undefined if there was no response. */
  readonly answer: CallerResponse | undefined;
  readonly session: string | undefined;
}

/** Inserts and reads bookings and records the outcomes that callers received. */
export class HistoryRecorder {
  readonly writes: RecordedWrite[] = [];
  readonly reads: RecordedRead[] = [];

  /** Inserts a booking and records the outcome, `unknown` without a response. */
  async book(
    client: CallerClient,
    options: BookingOptions,
  ): Promise<BookingResult> {
    const {group, key, idempotent = false, deadlineMs, session} = options;
    const startedAt = Date.now();
    const result = await sendRequest(client, session, {
      group,
      sql: `INSERT INTO ${TABLE} (id, state) VALUES (?, ?)`,
      parameters: [key, 'booked'],
      access: 'write',
      idempotent,
      requestId: key,
      deadlineMs,
    });
    const outcome = result?.answer.outcome ?? Outcome.Unknown;
    this.writes.push({
      group,
      key,
      idempotent,
      outcome,
      term: result?.answer.servedBy.term,
      startedAt,
      endedAt: Date.now(),
    });
    return {outcome, answer: result?.answer, session: result?.session};
  }

  /** Reads a booking back in its session and records whether it was found. */
  async readBack(
    client: CallerClient,
    {group, key, session, deadlineMs}: BookingOptions,
  ): Promise<BookingResult> {
    const result = await sendRequest(client, session, {
      group,
      sql: `SELECT * FROM ${TABLE} WHERE id = ?`,
      parameters: [key],
      access: 'read',
      idempotent: true,
      deadlineMs,
    });
    const outcome = result?.answer.outcome ?? Outcome.Unknown;
    const found = (result?.answer.rows.length ?? 0) > 0;
    this.reads.push({group, key, outcome, wasFound: found});
    return {outcome, answer: result?.answer, session: result?.session};
  }
}

/** Sends a request; returns undefined if there is no response. */
async function sendRequest(
  client: CallerClient,
  session: string | undefined,
  request: CallerRequest & {parameters: readonly SqlValue[]},
): Promise<CallerResult | undefined> {
  try {
    return await client.run(request, session);
  } catch {
    return undefined;
  }
}
