import type {LogPosition, RoundTripEstimate} from '@sapphireglade/decisions';
import {
  answerTimeoutMs,
  EMPTY_POSITION,
  observeRoundTrip,
} from '@sapphireglade/decisions';
import type {
  InstanceStatus,
  InstanceWatchRequest,
} from '@sapphireglade/protocol';
import type {Logger} from '@sapphireglade/runtime';
import {SupervisedTask} from '@sapphireglade/runtime';
import {firstValueFrom, from, map, race, timer} from 'rxjs';
import type {UpstreamConnection} from '../upstream/index.js';
import {UpstreamRefusedError} from '../upstream/index.js';
import {ControlRequestQueue} from './control-request-queue.js';
import type {InstanceObservations} from './instance-observations.js';

/** Longest wait of one watch at the instance, in milliseconds. */
const WATCH_TIMEOUT_MS = 100;

/** The same while control requests are expected, in milliseconds. */
const SHORT_WATCH_TIMEOUT_MS = 5;

/** How long control requests are expected after the last one. */
const SHORT_WATCH_PERIOD_MS = 1_000;

/** Wait before a new connection after a failed one, in milliseconds. */
const RECONNECT_DELAY_MS = 50;

/** What a watcher needs of its surroundings. */
export interface InstanceWatcherOptions {
  readonly group: string;
  readonly instance: string;
  /** Opens the connection that is kept for watching. */
  readonly open: () => Promise<UpstreamConnection>;
  readonly observations: InstanceObservations;
  readonly log: Logger;
}

/**
 * Watches one instance over a connection of its own, which also carries the
 * control requests, so that these never wait for the pool.
 *
 * An instance counts as unreachable when a new connection to it fails. Silence
 * of the old connection is not enough, because something between the two ends
 * may have lost track of that one alone.
 */
export class InstanceWatcher extends SupervisedTask {
  private readonly controlRequests = new ControlRequestQueue();
  private connection: UpstreamConnection | undefined;
  private roundTripEstimate: RoundTripEstimate | undefined;
  private position: LogPosition = EMPTY_POSITION;
  private grantedTerm = -1;
  private shortWatchUntilMs = 0;
  private isStopped = false;
  private watchLoop: Promise<void> = Promise.resolve();

  /** @param options - What is watched, and how. */
  constructor(private readonly options: InstanceWatcherOptions) {
    super(`watcher ${options.group}/${options.instance}`);
  }

  /**
   * Sends a control request over the connection of this watcher.
   *
   * @param send - Sends it, with the time-out that suits the instance.
   * @returns The answer; rejects as {@link UpstreamConnection} does, or if the
   *   instance cannot be reached.
   */
  control<Answer>(
    send: (
      connection: UpstreamConnection,
      timeoutMs: number,
    ) => Promise<Answer>,
  ): Promise<Answer> {
    this.expectControlRequests();
    return this.controlRequests.add(send);
  }

  /** Asks the instance where it stands, now. */
  async probe(): Promise<void> {
    await this.control((connection, timeoutMs) =>
      this.watch(connection, 0, timeoutMs),
    );
  }

  /** Keeps watches short for a while, because control requests will come. */
  expectControlRequests(): void {
    this.shortWatchUntilMs = performance.now() + SHORT_WATCH_PERIOD_MS;
  }

  /** Begins to watch. */
  protected async onStart(): Promise<void> {
    this.watchLoop = this.run();
  }

  /** Closes the connection. */
  protected async onStop(): Promise<void> {
    this.isStopped = true;
    await this.connection?.close();
    await this.watchLoop;
    this.controlRequests.rejectAll(
      new Error('The instance is not watched any more.'),
    );
    this.options.observations.remove(this.options.group, this.options.instance);
  }

  private async run(): Promise<void> {
    while (!this.isStopped) {
      const connection = await this.connect();
      if (connection === undefined) continue;
      await this.sendControlOrWatch(connection);
    }
  }

  /** Gives the open connection or opens one; nothing if that fails. */
  private async connect(): Promise<UpstreamConnection | undefined> {
    if (this.connection?.isOpen === true) return this.connection;
    try {
      this.connection = await this.openWithTimeout(
        answerTimeoutMs(this.roundTripEstimate),
      );
      this.grantedTerm = -1;
      return this.connection;
    } catch (error) {
      await this.onOpenFailed(error as Error);
      return undefined;
    }
  }

  /** Opens a connection; one that opens too late is closed. */
  private async openWithTimeout(
    timeoutMs: number,
  ): Promise<UpstreamConnection> {
    const opening = this.options.open();
    const opened = await firstValueFrom(
      race(from(opening), timer(timeoutMs).pipe(map(() => undefined))),
    );
    if (opened !== undefined) return opened;
    opening.then(
      late => late.close(),
      () => undefined,
    );
    throw new Error('The connection did not open in time.');
  }

  /** Sends the next control request, or watches if none waits. */
  private async sendControlOrWatch(
    connection: UpstreamConnection,
  ): Promise<void> {
    const timeoutMs = answerTimeoutMs(this.roundTripEstimate);
    if (await this.controlRequests.sendNext(connection, timeoutMs)) return;
    const isHurried = performance.now() < this.shortWatchUntilMs;
    const waitMs = isHurried ? SHORT_WATCH_TIMEOUT_MS : WATCH_TIMEOUT_MS;
    try {
      await this.watch(connection, waitMs, waitMs + timeoutMs);
    } catch (error) {
      // The next round opens a new connection, which shows whether the
      // instance or only this connection has fallen silent.
      this.logFailure('A watch failed.', error as Error);
      await connection.close();
    }
  }

  private async watch(
    connection: UpstreamConnection,
    waitMs: number,
    timeoutMs: number,
  ): Promise<void> {
    const sentAtMs = performance.now();
    const request: InstanceWatchRequest = {
      after: this.position,
      grantedTerm: this.grantedTerm,
      timeoutMs: waitMs,
    };
    const status = await connection.watch(request, timeoutMs);
    this.record(status, sentAtMs, waitMs);
  }

  private record(
    status: InstanceStatus,
    sentAtMs: number,
    waitMs: number,
  ): void {
    if (this.isStopped) return;
    const answeredAtMs = performance.now();
    const beyondWaitMs = answeredAtMs - sentAtMs - waitMs;
    if (beyondWaitMs > 0) {
      this.roundTripEstimate = observeRoundTrip(
        this.roundTripEstimate,
        beyondWaitMs,
      );
    }
    this.position = status.position;
    this.grantedTerm = status.grantedTerm;
    const {group, instance} = this.options;
    this.options.observations.record({
      group,
      instance,
      status,
      sentAtMs,
      answeredAtMs,
    });
  }

  private async onOpenFailed(error: Error): Promise<void> {
    if (this.isStopped) return;
    this.logFailure('An instance cannot be reached.', error);
    this.controlRequests.rejectAll(error);
    // An instance that refuses a connection has been reached.
    if (!(error.cause instanceof UpstreamRefusedError)) {
      const {group, instance, observations} = this.options;
      observations.recordUnreachable({group, instance, reason: error.message});
    }
    await new Promise(resolve => setTimeout(resolve, RECONNECT_DELAY_MS));
  }

  private logFailure(sentence: string, {message}: Error): void {
    const {group, instance, log} = this.options;
    log.debug(sentence, {group, instance, reason: message});
  }
}
