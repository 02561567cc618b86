import type {ConfigurationReport} from '@sapphireglade/protocol';
import {
  configurationReportResponseSchema,
  DEFAULT_LINK_TIMEOUTS,
  LinkDialer,
} from '@sapphireglade/protocol';
import {HybridLogicalClock} from '@sapphireglade/runtime';

/** Interval between reports, in milliseconds; the same as in the proxy. */
const REPORT_INTERVAL_MS = 2_000;

/** Longest wait for a response, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000;

/** Address of the delegate, and name and zone of the member. */
export interface FakeMemberOptions {
  readonly name: string;
  readonly zone: string;
  readonly address: string;
  readonly port: number;
}

/** Fake proxy that sends configuration reports and pulls to a delegate. */
export class FakeMember {
  private readonly dialer: LinkDialer;
  private revision = 0;
  private listDigest = '';
  private timer: NodeJS.Timeout | undefined;

  /** @param options - Address of the delegate, name and zone of the member. */
  constructor({name, zone, address, port}: FakeMemberOptions) {
    this.dialer = new LinkDialer(
      {address, port},
      {
        identity: {process: name, boot: `${name}-boot`, zone},
        clock: new HybridLogicalClock(),
        handlers: {
          onRequest: async () => undefined,
          onNotification: notification => this.onNotice(notification),
        },
        timings: DEFAULT_LINK_TIMEOUTS,
      },
    );
  }

  /** Bytes sent and received on the link. */
  get bytes(): number {
    const counters = this.dialer.current?.counters;
    return (counters?.bytesSent ?? 0) + (counters?.bytesReceived ?? 0);
  }

  /**
   * Starts to send reports.
   *
   * @param delayMs - Delay before the first report, which spreads the members'
   *   reports, in milliseconds.
   */
  start(delayMs: number): void {
    this.timer = setTimeout(() => void this.reportAndReschedule(), delayMs);
  }

  /** Stops the reports and closes the link. */
  stop(): void {
    clearTimeout(this.timer);
    this.dialer.stop();
  }

  private async reportAndReschedule(): Promise<void> {
    await this.report().catch(() => undefined);
    this.timer = setTimeout(
      () => void this.reportAndReschedule(),
      REPORT_INTERVAL_MS,
    );
  }

  private async report(): Promise<void> {
    const report: ConfigurationReport = {
      type: 'configuration-report',
      revision: this.revision,
      zones: [],
      wantsZones: false,
      listDigest: this.listDigest,
    };
    const body = await this.dialer.request(report, RESPONSE_TIMEOUT_MS);
    const answer = configurationReportResponseSchema.parse(body);
    this.listDigest = answer.listDigest;
    if (answer.revision > this.revision)
      await this.pullConfiguration(answer.revision);
  }

  /** Pulls the changes and reports immediately, as a proxy does. */
  private async pullConfiguration(revision: number): Promise<void> {
    const after = this.revision;
    const request = {type: 'configuration-pull', after, cursor: 0};
    this.revision = revision;
    await this.dialer.request(request, RESPONSE_TIMEOUT_MS);
    await this.report();
  }

  private onNotice(notification: unknown): void {
    const {type, revision} = notification as {type?: string; revision?: number};
    if (type !== 'configuration-offer' || revision === undefined) return;
    if (revision > this.revision) {
      void this.pullConfiguration(revision).catch(() => undefined);
    }
  }
}
