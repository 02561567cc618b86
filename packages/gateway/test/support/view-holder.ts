import type {
  InstanceConnection,
  PrimaryChangeContext,
  StoredItem,
} from '../../src/index.js';
import {
  CommandKind,
  KNOWN_PROXY_PREFIX,
  knownProxyValue,
  MEMBER_PREFIX,
  steadyNowMs,
  VIEW_VALIDITY_MS,
} from '../../src/index.js';
import {MemoryConnector} from './memory-connector.js';
import type {MemoryGroup, MemoryInstance} from './memory-group.js';
import type {MemoryStoreState} from './memory-store.js';
import {registeredInstance} from './primary-change-context.js';

/** Interval at which the view lease is renewed, in milliseconds. */
const RENEWAL_INTERVAL_MS = 2;

/** Timeout for opening a connection, in milliseconds. */
const OPEN_TIMEOUT_MS = 1_000;

/** Duration of the view lease, in milliseconds. */
const LEASE_MS = 60_000;

/**
 * A proxy that does not learn of a change of primary, and therefore uses the old
 * primary until its view of it has expired.
 */
export class ViewHolder {
  private confirmedAtMs = steadyNowMs();
  private readonly timer: NodeJS.Timeout;
  private readonly connector: MemoryConnector;
  private readonly lease: number;

  /**
   * @param name - Name of the proxy.
   * @param group - The group that it uses.
   * @param state - The store, which keeps its view lease.
   */
  constructor(
    private readonly name: string,
    private readonly group: MemoryGroup,
    private readonly state: MemoryStoreState,
  ) {
    const groups = new Map([[group.name, group]]);
    this.connector = new MemoryConnector(name, groups, false);
    this.lease = state.grantLease(LEASE_MS);
    this.timer = setInterval(() => this.renew(), RENEWAL_INTERVAL_MS);
  }

  /** Whether it may still use the primary. */
  get isViewValid(): boolean {
    return steadyNowMs() - this.confirmedAtMs < VIEW_VALIDITY_MS;
  }

  /** Publishes the proxy as a running member. */
  publish({
    knownProxies,
    members,
  }: Pick<PrimaryChangeContext, 'knownProxies' | 'members'>): void {
    const {name, lease, state} = this;
    const known = knownProxyValue(state.generation, lease);
    knownProxies.onPut(this.put(KNOWN_PROXY_PREFIX + name, known));
    const member = {
      name,
      incarnation: `${name}-1`,
      availabilityZone: 'zone-0',
      peerAddress: 'memory:5',
      capacity: 1,
      suspects: [],
    };
    members.onPut(this.put(MEMBER_PREFIX + name, JSON.stringify(member)));
  }

  /**
   * Sends a write, and acknowledges it if it is answered while the view is valid.
   *
   * @param instance - The instance that it uses as the primary.
   * @param requestId - Identifies the write.
   * @returns Whether the write was acknowledged.
   */
  async write(instance: MemoryInstance, requestId: string): Promise<boolean> {
    const connection = await this.connect(instance);
    const {refusal, position} = await connection.run({
      kind: CommandKind.Statement,
      requestId,
      text: 'STORE',
      awaitsReplica: true,
    });
    const isAcknowledged =
      refusal === undefined && position !== undefined && this.isViewValid;
    if (isAcknowledged)
      this.group.acknowledged.set(requestId, {
        atMs: performance.now(),
        position,
      });
    return isAcknowledged;
  }

  /** Stops renewing the lease. */
  stop(): void {
    clearInterval(this.timer);
  }

  private put(key: string, value: string): StoredItem {
    this.state.put(key, value);
    const {revision} = this.state;
    return {key, value: Buffer.from(value), revision, leaseId: 0};
  }

  private connect({id}: MemoryInstance): Promise<InstanceConnection> {
    const endpoint = registeredInstance(id, this.group.name);
    return this.connector.open(endpoint, OPEN_TIMEOUT_MS);
  }

  private renew(): void {
    if (this.state.leases.has(this.lease)) this.confirmedAtMs = steadyNowMs();
  }
}
