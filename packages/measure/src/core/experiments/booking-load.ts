import {Outcome} from '@sapphireglade/decisions';
import type {CallerClient} from '@sapphireglade/stand-ins';
import {HistoryRecorder} from '@sapphireglade/stand-ins';
import type {RandomSource} from '../load/index.js';
import {runOpenLoop} from '../load/index.js';

/** Share of bookings that are read back, in percent. */
const READ_BACK_PERCENT = 10;

/** Longest run of a load that is ended by hand, in milliseconds. */
const UNLIMITED_MS = 3_600_000;

/** An acknowledged booking. */
export interface Acknowledgement {
  readonly term: number;
  /** Monotonic time of the answer, in milliseconds. */
  readonly at: number;
}

/** How bookings are made. */
export interface BookingLoadOptions {
  readonly clients: readonly CallerClient[];
  readonly group: string;
  readonly ratePerSecond: number;
  readonly deadlineMs: number;
  readonly random: RandomSource;
}

/** Books at a steady rate until it is ended, and keeps the history. */
export class BookingLoad {
  readonly recorder = new HistoryRecorder();
  readonly acknowledgements: Acknowledgement[] = [];
  private isStopRequested = false;
  private readonly running: Promise<number>;

  /** @param options - Where and how often to book. */
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

  /** Ends the load and waits for the last answers. */
  async stop(): Promise<void> {
    this.isStopRequested = true;
    await this.running;
  }

  /** The last acknowledgement in a term. */
  lastInTerm(term: number): Acknowledgement | undefined {
    return this.acknowledgements.findLast(one => one.term === term);
  }

  /** The first acknowledgement in a term above this one. */
  firstAfterTerm(term: number): Acknowledgement | undefined {
    return this.acknowledgements.find(one => one.term > term);
  }

  private async book(index: number): Promise<void> {
    const {clients, group, deadlineMs, random} = this.options;
    const client = clients[index % clients.length];
    if (client === undefined) return;
    const key = `booking-${index}`;
    const readsBack = random() * 100 < READ_BACK_PERCENT;
    const options = {group, key, deadlineMs};
    const booked = await this.recorder.book(client, options);
    if (booked.outcome !== Outcome.Done) return;
    const term = booked.answer?.servedBy.term ?? 0;
    this.acknowledgements.push({term, at: performance.now()});
    if (!readsBack) return;
    const reader = clients[(index + 1) % clients.length] ?? client;
    await this.recorder.readBack(reader, {...options, session: booked.session});
  }
}
