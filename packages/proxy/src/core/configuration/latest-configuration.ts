import type {
  ConfigurationDelta,
  ConfigurationHistory,
} from '@sapphireglade/decisions';
import {applyDelta, EMPTY_HISTORY} from '@sapphireglade/decisions';
import {LogPart} from '@sapphireglade/runtime';
import type {ProxyContext} from '../context/index.js';

/** Holds the configuration in force at this process. It never reverts. */
export class LatestConfiguration {
  private current: ConfigurationHistory = EMPTY_HISTORY;
  private isLoaded = false;

  /** @param context - Receives each configuration that comes into force. */
  constructor(private readonly context: ProxyContext) {}

  /** The configuration with its past. */
  get history(): ConfigurationHistory {
    return this.current;
  }

  /** The revision in force. */
  get revision(): number {
    return this.current.snapshot.revision;
  }

  /** Whether store or peers have told what the configuration is. */
  get isKnown(): boolean {
    return this.isLoaded;
  }

  /** Notes that the store or a peer has nothing newer. */
  markLoaded(): void {
    this.isLoaded = true;
  }

  /**
   * Applies a delta, if it is newer and without a gap.
   *
   * @param source - Where it came from, for the time line.
   * @returns Whether the revision rose.
   */
  apply(delta: ConfigurationDelta, source: string): boolean {
    const next = applyDelta(this.current, delta);
    if (next === this.current) return false;
    this.current = next;
    this.isLoaded = true;
    const {revision} = next.snapshot;
    this.context.configuration.next(next.snapshot);
    this.context.events.record('configuration-applied', {revision, source});
    this.context
      .logs(LogPart.Configuration)
      .info('A configuration is in force.', {revision, source});
    return true;
  }
}
