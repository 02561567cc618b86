import type {LogFields, Logger} from '@sapphireglade/runtime';
import type {InstanceEndpoint} from '../upstream/index.js';

/** Logs what happens to the connections to one instance. */
export class PoolLog {
  constructor(
    private readonly endpoint: InstanceEndpoint,
    private readonly log: Logger,
  ) {}

  /** Logs that the instance has refused a connection over its limit. */
  logOverLimit(open: number, share: number): void {
    this.log.info('An instance refused a connection over its limit.', {
      ...this.fields,
      open,
      share,
    });
  }

  /** Logs that the instance can be reached again. */
  logReachable(): void {
    this.log.info('An instance can be reached again.', this.fields);
  }

  /** Logs that no connection to the instance can be opened. */
  logUnreachable(error: Error): void {
    this.log.warn('An instance cannot be reached.', {
      ...this.fields,
      error: error.message,
    });
  }

  /** Logs that an open connection was lost. */
  logConnectionLost(reason: string): void {
    this.log.debug('A connection was lost.', {...this.fields, reason});
  }

  private get fields(): LogFields {
    return {instance: this.endpoint.id, group: this.endpoint.group};
  }
}
