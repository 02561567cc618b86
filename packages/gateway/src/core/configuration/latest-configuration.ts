import type {Logger} from '@sapphireglade/runtime';
import {BehaviorSubject} from 'rxjs';
import type {GatewayConfiguration} from './types.js';

/** Keeps the newest configuration; an older one never replaces it. */
export class LatestConfiguration {
  private readonly newest = new BehaviorSubject<
    GatewayConfiguration | undefined
  >(undefined);

  /** @param log - Receives a line for each version that comes into force. */
  constructor(private readonly log: Logger) {}

  /** Emits the configuration in force, and each later one. */
  get configuration$(): BehaviorSubject<GatewayConfiguration | undefined> {
    return this.newest;
  }

  /** The configuration in force, if any is known. */
  get current(): GatewayConfiguration | undefined {
    return this.newest.value;
  }

  /**
   * Puts a configuration into force unless a newer one is.
   *
   * @returns Whether it came into force.
   */
  applyIfNewer(configuration: GatewayConfiguration): boolean {
    const known = this.newest.value;
    if (known !== undefined && configuration.version <= known.version) {
      return false;
    }
    this.log.info('A configuration came into force.', {
      version: configuration.version,
      previous: known?.version,
      routes: configuration.routes.size,
    });
    this.newest.next(configuration);
    return true;
  }
}
