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

/** Maximum time that an instance holds a watch request, in milliseconds. */
const WATCH_TIMEOUT_MS = 100;

/** Same limit while control requests are expected, in milliseconds. */
const SHORT_WATCH_TIMEOUT_MS = 5;

/** Period of short watches after a control request, in milliseconds. */
const SHORT_WATCH_PERIOD_MS = 1_000;

/** Delay after a failed connection attempt, in milliseconds. */
const RECONNECT_DELAY_MS = 50;

/** Options and dependencies of an instance watcher. */
export interface InstanceWatcherOptions {
  readonly group: string;
  readonly instance: string;
  /** Opens the dedicated watch connection. */
  readonly open: () => Promise<UpstreamConnection>;
  readonly observations: InstanceObservations;
  readonly log: Logger;
}

/**
 * Watches one instance over a dedicated connection. The connection also carries
 * the control requests, so that these never wait for the pool.
 *
 * An instance counts as unreachable when a new connection to it fails. A
 * timeout on the existing connection is not enough, because a network device
 * between the two ends may have dropped the state of that connection alone.
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

  /** @param options - The instance to watch and the dependencies. */
  constructor(private readonly options: InstanceWatcherOptions) {
    super(`watcher ${options.group}/${options.instance}`);
  }

  /**
   * Sends a control request over the connection of this watcher.
   *
   * @param send - Sends the request, with a timeout derived from the round
   *   trip time.
   * @returns The answer; rejects with the errors of {@link UpstreamConnection},
   *   or if the instance cannot be reached.
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

  /** Requests the current status of the instance. */
  async probe(): Promise<void> {
    await this.control((connection, timeoutMs) =>
      this.watch(connection, 0, timeoutMs),
    );
  }

  /** Shortens watches for a period, because control requests will follow. */
  expectControlRequests(): void {
    this.shortWatchUntilMs = performance.now() + SHORT_WATCH_PERIOD_MS;
  }

  /** Starts the watch loop. */
  protected async onStart(): Promise<void> {
    this.watchLoop = this.run();
  }

  /** Closes the connection and rejects the queued control requests. */
  protected async onStop(): Promise<void> {
    this.isStopped = true;
    await this.connection?.close();
    await this.watchLoop;
    this.controlRequests.rejectAll(
      new Error('The instance is no longer watched.'),
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

  /** Returns the open connection or opens one; `undefined` if that fails. */
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

  /** Opens a connection; closes it if it opens after the timeout. */
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
    throw new Error('The connection attempt timed out.');
  }

  /** Sends the next control request, or a watch request if none is queued. */
  private async sendControlOrWatch(
    connection: UpstreamConnection,
  ): Promise<void> {
    const timeoutMs = answerTimeoutMs(this.roundTripEstimate);
    if (await this.controlRequests.sendNext(connection, timeoutMs)) return;
    const isShortWatch = performance.now() < this.shortWatchUntilMs;
    const waitMs = isShortWatch ? SHORT_WATCH_TIMEOUT_MS : WATCH_TIMEOUT_MS;
    try {
      await this.watch(connection, waitMs, waitMs + timeoutMs);
    } catch (error) {
      // The next iteration opens a new connection. Its result shows whether the
      // instance or only this connection stopped responding.
      this.logFailure(
        'A watch failed; reconnecting to the instance.',
        error as Error,
      );
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
    const roundTripMs = answeredAtMs - sentAtMs - waitMs;
    if (roundTripMs > 0) {
      this.roundTripEstimate = observeRoundTrip(
        this.roundTripEstimate,
        roundTripMs,
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
    this.logFailure('An instance could not be connected to; retrying.', error);
    this.controlRequests.rejectAll(error);
    // An instance that refuses a connection is reachable.
    if (!(error.cause instanceof UpstreamRefusedError)) {
      const {group, instance, observations} = this.options;
      observations.recordUnreachable({group, instance, reason: error.message});
    }
    await new Promise(resolve => setTimeout(resolve, RECONNECT_DELAY_MS));
  }

  private logFailure(text: string, {message}: Error): void {
    const {group, instance, log} = this.options;
    log.debug(text, {group, instance, reason: message});
  }
}
