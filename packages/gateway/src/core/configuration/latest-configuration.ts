import type {Logger} from '@sapphireglade/runtime';
import {BehaviorSubject} from 'rxjs';
import type {GatewayConfiguration} from './types.js';

/** Holds the newest configuration. An older one never replaces it. */
export class LatestConfiguration {
  private readonly newest = new BehaviorSubject<
    GatewayConfiguration | undefined
  >(undefined);

  /** @param log - Receives a line for each version that is applied. */
  constructor(private readonly log: Logger) {}

  /** Emits the current configuration, and each later one. */
  get configuration$(): BehaviorSubject<GatewayConfiguration | undefined> {
    return this.newest;
  }

  /** The current configuration, if any. */
  get current(): GatewayConfiguration | undefined {
    return this.newest.value;
  }

  /**
   * Applies a configuration unless the current one is at least as new.
   *
   * @returns Whether it was applied.
   */
  applyIfNewer(configuration: GatewayConfiguration): boolean {
    const previous = this.newest.value;
    if (previous !== undefined && configuration.version <= previous.version) {
      return false;
    }
    this.log.info('A configuration was applied.', {
      version: configuration.version,
      previous: previous?.version,
      routes: configuration.routes.size,
    });
    this.newest.next(configuration);
    return true;
  }
}
