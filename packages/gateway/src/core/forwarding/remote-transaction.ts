import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {Link} from '@sapphireglade/protocol';
import type {ExecutionRequest} from '../sessions/index.js';
import {UpstreamTransaction} from '../sessions/index.js';
import type {InstanceReply} from '../upstream/index.js';
import type {ForwardingRunner} from './forwarding-runner.js';
import {needsPrimary} from './owner-routing.js';
import {linkError} from './forwarding-runner.js';
import type {ForwardedMessage} from './messages.js';
import {decodeResponse, encodeExecution, ForwardedKind} from './messages.js';
import type {OwnerPeer} from './owner-peer.js';

/** Deadline of a rollback at the owner, in milliseconds; closing the link has the same effect. */
const ROLLBACK_DEADLINE_MS = 1_000;

/** Properties that a transaction has from its start. */
export interface RemoteTransactionOptions {
  /** Identifier, unique in this process. */
  readonly id: number;
  readonly isReadOnly: boolean;
  /** When the transaction started, in milliseconds of the steady clock. */
  readonly startedAtMs: number;
}

/** A transaction at an owner. It is bound to one link and is rolled back when the link closes. */
export class RemoteTransaction extends UpstreamTransaction {
  private boundLink:
    {readonly peer: OwnerPeer; readonly link: Link} | undefined;
  private hasEnded = false;

  constructor(
    private readonly runner: ForwardingRunner,
    private readonly options: RemoteTransactionOptions,
  ) {
    super();
  }

  override run(request: ExecutionRequest): Promise<InstanceReply> {
    return this.send(request, false, false);
  }

  override async commit(
    request: ExecutionRequest,
    hasWritten: boolean,
  ): Promise<InstanceReply> {
    const reply = await this.send(request, true, hasWritten);
    this.hasEnded = true;
    return reply;
  }

  override rollBack(): void {
    const {boundLink, options} = this;
    if (boundLink === undefined || this.hasEnded) return;
    this.hasEnded = true;
    if (!boundLink.link.isOpen) return;
    boundLink.link
      .request(
        {kind: ForwardedKind.RollBack, transaction: options.id},
        ROLLBACK_DEADLINE_MS,
      )
      // If the link fails or the owner is slow, the owner ends the transaction itself.
      .catch(() => undefined);
  }

  private async send(
    request: ExecutionRequest,
    isCommit: boolean,
    mayBeKept: boolean,
  ): Promise<InstanceReply> {
    if (this.hasEnded) throw transactionLostError('it has ended');
    if (this.boundLink === undefined) return this.begin(request, isCommit);
    const {peer, link} = this.boundLink;
    const body = this.encode(request, isCommit, false);
    const result = await peer.requestOverLink(link, body, request.deadlineMs);
    // The caller ends the transaction; its owner learns it from the rollback.
    if (result.kind === 'refused')
      throw transactionLostError(result.error.message);
    const response =
      result.kind === 'answered' ? decodeResponse(result.body) : undefined;
    if (response instanceof SapphiregladeError) throw response;
    if (response !== undefined) return response.reply;
    // Closing the link ends any statement that still runs at the owner.
    link.close();
    this.hasEnded = true;
    const reason =
      result.kind === 'failed'
        ? result.reason
        : 'the response of the owner could not be decoded';
    const wasSent = result.kind === 'answered' || result.wasSent;
    throw mayBeKept && wasSent
      ? linkError({wasSent, reason}, false)
      : transactionLostError(reason);
  }

  /** Begins at any owner; this is repeatable, because nothing is permanent before the commit. */
  private async begin(
    request: ExecutionRequest,
    isCommit: boolean,
  ): Promise<InstanceReply> {
    const {reply, peer, link} = await this.runner.forward({
      request,
      encode: () => this.encode(request, isCommit, true),
      isRetryable: true,
      needsPrimary: needsPrimary(request, this.options.isReadOnly),
    });
    this.boundLink = {peer, link};
    return reply;
  }

  private encode(
    request: ExecutionRequest,
    isCommit: boolean,
    isFirst: boolean,
  ): ForwardedMessage {
    const {id, isReadOnly, startedAtMs} = this.options;
    return {
      kind: ForwardedKind.InTransaction,
      transaction: id,
      isFirst,
      isReadOnly,
      isCommit,
      execution: encodeExecution({...request, startedAtMs}),
    };
  }
}

function transactionLostError(reason: string): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.TransactionLost,
    `The transaction was rolled back: ${reason}`,
  );
}
