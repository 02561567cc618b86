import {setTimeout as sleep} from 'node:timers/promises';
import type {VoterSet} from '@sapphireglade/decisions';
import type {PeerInstance} from '@sapphireglade/protocol';
import type {InstanceState} from './instance-state.js';
import {ReplicationClient} from './replication-client.js';
import type {InstanceSettings, InstanceTuning} from './settings.js';

/** Longest time that a pull waits for entries, in milliseconds. */
const PULL_TIMEOUT_MS = 1_000;

/** Delay after a failed pull, in milliseconds. */
const RETRY_DELAY_MS = 50;

/** Settings and state of the instance that follows. */
export interface FollowerOptions {
  readonly settings: InstanceSettings;
  readonly state: InstanceState;
  readonly tuning: () => InstanceTuning;
}

/** Pulls log entries from the primary while the instance is its replica. */
export class Follower {
  private client: ReplicationClient | undefined;
  private generation = 0;

  /** @param options - Settings and state of the instance. */
  constructor(private readonly options: FollowerOptions) {}

  /**
   * Follows a primary and drops the log entries that it does not have.
   *
   * @param voterSets - Voter sets of the term, if the request names them.
   * @returns Number of dropped entries.
   * @throws RefusalError if a higher term was granted; another error if the
   *   primary is unreachable.
   */
  async follow(
    term: number,
    primary: PeerInstance,
    voterSets: readonly VoterSet[] | undefined,
  ): Promise<number> {
    const {settings, state} = this.options;
    state.assertCanFollow(term);
    const client = new ReplicationClient(primary, settings.address);
    try {
      const dropped = state.follow(
        term,
        primary,
        await client.fetchHistory(term),
        voterSets,
      );
      await this.startPulling(client, term);
      return dropped;
    } catch (error) {
      await client.close();
      throw error;
    }
  }

  /** Restarts pulling from the current primary, if there is one. */
  async resume(): Promise<void> {
    const {settings, state} = this.options;
    const {primary} = state;
    if (primary === undefined) return;
    await this.startPulling(
      new ReplicationClient(primary, settings.address),
      state.term,
    );
  }

  /** Stops pulling. */
  async stop(): Promise<void> {
    this.generation += 1;
    const {client} = this;
    this.client = undefined;
    await client?.close();
  }

  private async startPulling(
    client: ReplicationClient,
    term: number,
  ): Promise<void> {
    await this.stop();
    this.client = client;
    void this.pullLoop(client, term, this.generation);
  }

  private async pullLoop(
    client: ReplicationClient,
    term: number,
    generation: number,
  ): Promise<void> {
    const {state} = this.options;
    while (this.generation === generation && state.primary !== undefined) {
      try {
        await this.pullOnce(client, term);
      } catch {
        await sleep(RETRY_DELAY_MS);
      }
    }
  }

  private async pullOnce(
    client: ReplicationClient,
    term: number,
  ): Promise<void> {
    const {settings, state, tuning} = this.options;
    const {entries} = await client.fetchEntries({
      instance: settings.instance,
      term,
      after: state.position,
      lagMs: tuning().replicationLagMs,
      timeoutMs: PULL_TIMEOUT_MS,
    });
    state.appendReplicated(term, entries);
  }
}
