import {Outcome} from '@sapphireglade/decisions';
import type {CallerClient} from '@sapphireglade/stand-ins';
import {HistoryRecorder} from '@sapphireglade/stand-ins';
import type {RandomSource} from '../load/index.js';
import {runOpenLoop} from '../load/index.js';

/** Percentage of bookings that are read back. */
const READ_BACK_PERCENT = 10;

/** Longest duration of a load that is stopped explicitly, in milliseconds. */
const UNLIMITED_MS = 3_600_000;

/** Acknowledgement of a booking. */
export interface Acknowledgement {
  readonly term: number;
  /** Monotonic time of the response, in milliseconds. */
  readonly at: number;
}

/** Parameters of a {@link BookingLoad}. */
export interface BookingLoadOptions {
  readonly clients: readonly CallerClient[];
  readonly group: string;
  readonly ratePerSecond: number;
  readonly deadlineMs: number;
  readonly random: RandomSource;
}

/** Sends bookings at a constant mean rate until stopped and records them. */
export class BookingLoad {
  readonly recorder = new HistoryRecorder();
  readonly acknowledgements: Acknowledgement[] = [];
  private isStopRequested = false;
  private readonly running: Promise<number>;

  /** @param options - Clients, group and rate. */
  constructor(private readonly options: BookingLoadOptions) {
    const {ratePerSecond, random} = options;
    this.running = runOpenLoop({
      ratePerSecond,
      random,
      durationMs: UNLIMITED_MS,
      shouldStop: () => this.isStopRequested,
      send: index => this.book(index),
    });
  }

  /** Stops the load and waits for the pending responses. */
  async stop(): Promise<void> {
    this.isStopRequested = true;
    await this.running;
  }

  /** Returns the last acknowledgement in a term. */
  lastInTerm(term: number): Acknowledgement | undefined {
    return this.acknowledgements.findLast(
      acknowledgement => acknowledgement.term === term,
    );
  }

  /** Returns the first acknowledgement in a higher term. */
  firstAfterTerm(term: number): Acknowledgement | undefined {
    return this.acknowledgements.find(
      acknowledgement => acknowledgement.term > term,
    );
  }

  private async book(index: number): Promise<void> {
    const {clients, group, deadlineMs, random} = this.options;
    const client = clients[index % clients.length];
    if (client === undefined) return;
    const key = `booking-${index}`;
    const shouldReadBack = random() * 100 < READ_BACK_PERCENT;
    const options = {group, key, deadlineMs};
    const booked = await this.recorder.book(client, options);
    if (booked.outcome !== Outcome.Done) return;
    const term = booked.answer?.servedBy.term ?? 0;
    this.acknowledgements.push({term, at: performance.now()});
    if (!shouldReadBack) return;
    const reader = clients[(index + 1) % clients.length] ?? client;
    await this.recorder.readBack(reader, {...options, session: booked.session});
  }
}
