import type {
  ConfigurationDelta,
  ConfigurationHistory,
} from '@sapphireglade/decisions';
import {applyDelta, EMPTY_HISTORY} from '@sapphireglade/decisions';
import {LogPart} from '@sapphireglade/runtime';
import type {ProxyContext} from '../context/index.js';

/** The configuration in force in this process. Its revision never decreases. */
export class LatestConfiguration {
  private current: ConfigurationHistory = EMPTY_HISTORY;
  private isLoaded = false;

  /** @param context - Receives each new configuration. */
  constructor(private readonly context: ProxyContext) {}

  /** The configuration and the history from which deltas are built. */
  get history(): ConfigurationHistory {
    return this.current;
  }

  /** The revision in force. */
  get revision(): number {
    return this.current.snapshot.revision;
  }

  /** Whether the configuration was loaded from the store or a peer. */
  get isKnown(): boolean {
    return this.isLoaded;
  }

  /**
   * Marks the configuration as loaded; the store or a peer has no newer one.
   */
  markLoaded(): void {
    this.isLoaded = true;
  }

  /**
   * Applies a delta if it is newer and contiguous with the history.
   *
   * @param source - Origin of the delta, for the timeline.
   * @returns Whether the revision increased.
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
      .info('A configuration was applied.', {revision, source});
    return true;
  }
}
