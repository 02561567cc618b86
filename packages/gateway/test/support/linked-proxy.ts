import type {InstanceListView} from '@sapphireglade/decisions';
import {
  ReadConsistency,
  SapphiregladeError,
  SessionValues,
} from '@sapphireglade/decisions';
import {createSilentLogger} from '@sapphireglade/runtime';
import {ForwardingService} from '../../src/core/forwarding/index.js';
import type {RelaySource} from '../../src/core/store-relay/index.js';
import {StoreRelayServer} from '../../src/core/store-relay/index.js';
import type {GroupOwnership} from '../../src/core/ownership/index.js';
import type {
  ExecutionRequest,
  InstanceReply,
  MemberList,
} from '../../src/index.js';
import {
  LatestConfiguration,
  UpstreamTransaction,
  StatementRunner,
  StoreMirror,
} from '../../src/index.js';

/** Name of the group under test. */
export const GROUP = 'ledger';

/** The reply of an instance. */
export const REPLY: InstanceReply = {
  rows: ['row'],
  signature: 'signed',
  refusal: undefined,
  state: 'idle',
  position: {term: 3, position: 9},
  report: undefined,
};

/** Records the requests it receives and returns a preset answer. */
export class RecordingRunner extends StatementRunner {
  readonly ran: ExecutionRequest[] = [];
  readonly events: string[] = [];
  /** Returns the answer to a statement. */
  answer: () => Promise<InstanceReply> = () => Promise.resolve(REPLY);

  override run(request: ExecutionRequest): Promise<InstanceReply> {
    this.ran.push(request);
    return this.answer();
  }

  override begin(): Promise<UpstreamTransaction> {
    this.events.push('begin');
    return Promise.resolve(new RecordingTransaction(this));
  }
}

class RecordingTransaction extends UpstreamTransaction {
  constructor(private readonly runner: RecordingRunner) {
    super();
  }

  override run(request: ExecutionRequest): Promise<InstanceReply> {
    this.runner.events.push(`run ${request.statement.requestId}`);
    return this.runner.answer();
  }

  override commit(): Promise<InstanceReply> {
    this.runner.events.push('commit');
    return this.runner.answer();
  }

  override rollBack(): void {
    this.runner.events.push('roll back');
  }
}

/** A proxy with its links. The test sets which proxies own the group. */
export class LinkedProxy {
  readonly runner = new RecordingRunner();
  owns = true;
  /** Availability zone of the primary, as seen by this proxy. */
  primaryZone = 'zone-0';
  /** Revision up to which it has read the store, if any. */
  followed: number | undefined = 7;
  /** What it knows of the instances of the group. */
  instanceList: InstanceListView = {canRead: true, ageMs: 0, instances: []};
  private readonly relayServer = new StoreRelayServer(
    this.relaySource('members/'),
    this.relaySource('configuration'),
    () => 0,
  );
  readonly configuration = new LatestConfiguration(createSilentLogger());
  readonly service: ForwardingService;

  constructor(
    readonly name: string,
    members: MemberList,
    owners: () => readonly string[],
  ) {
    const ownership = {
      ownersOf: owners,
      isOwned: () => this.owns,
    } as Partial<GroupOwnership> as GroupOwnership;
    this.service = new ForwardingService({
      identity: {process: name, boot: `${name}-1`, zone: 'zone-0'},
      region: 'east',
      regionOf: zone => (zone === 'zone-far' ? 'west' : 'east'),
      listen: {host: '127.0.0.1', port: 0},
      ownership,
      members,
      configuration: this.configuration,
      primaryZoneOf: () => this.primaryZone,
      localRunner: this.runner,
      relayServer: this.relayServer,
      instanceListOf: () => this.instanceList,
      answersByMs: () => Infinity,
      log: createSilentLogger(),
    });
  }

  private relaySource(prefix: string): RelaySource {
    return {
      mirror: new StoreMirror(prefix),
      revision: () => this.followed,
      ageMs: () => 0,
    };
  }
}

/** Publishes a proxy as a member. */
export function publish(
  members: MemberList,
  {name, service}: LinkedProxy,
  availabilityZone = 'zone-0',
): void {
  members.onPut({
    key: `sapphireglade/members/${name}`,
    value: Buffer.from(
      JSON.stringify({
        name,
        incarnation: `${name}-1`,
        availabilityZone,
        peerAddress: service.peerAddress,
        capacity: 1,
        suspects: [],
      }),
    ),
    revision: 1,
    leaseId: 0,
  });
}

/** Creates a read or a write of a session with one value. */
export function requestOf(
  requestId: string,
  isRead: boolean,
): ExecutionRequest {
  const values = new SessionValues();
  values.set('colour', 'green');
  const nowMs = performance.now();
  return {
    statement: {
      requestId,
      isRead,
      awaitsReplica: !isRead,
      text: isRead ? 'FETCH 1' : 'STORE 1 a',
      prepared: undefined,
      parameters: '',
    },
    route: {
      database: 'books',
      group: GROUP,
      consistency: ReadConsistency.ReadYourWrites,
      maximumStalenessMs: 700,
      statementTimeoutMs: 1_000,
      targetLatencyMs: 800,
      priority: 1,
    },
    values,
    startedAtMs: nowMs,
    deadlineMs: nowMs + 1_000,
    queueDeadlineMs: nowMs + 600,
    ownCommit: {term: 2, position: 8},
  };
}

/** Returns the SapphiregladeError with which an operation fails. */
export async function failureOf(
  operation: Promise<unknown>,
): Promise<SapphiregladeError> {
  const error: unknown = await operation.then(
    () => undefined,
    (reason: unknown) => reason,
  );
  if (error instanceof SapphiregladeError) return error;
  throw new Error('The operation did not fail with a SapphiregladeError.', {
    cause: error,
  });
}
