import type {
  AcceptanceResult,
  ChangeRecord,
  Resource,
} from '@sapphireglade/decisions';
import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {ResourceChangeResponse} from '@sapphireglade/protocol';
import type {ChangeAcceptor} from '../configuration/index.js';
import type {ProxyContext} from '../context/index.js';
import type {ChangeRequest} from './change-input.js';
import {VersionConflictError} from './version-conflict-error.js';

/** Timeout for the acceptance of a change, in milliseconds. */
export const ACCEPTANCE_TIMEOUT_MS = 8_000;

/** Advised retry delay while the store is unavailable, in milliseconds. */
const STORE_RETRY_AFTER_MS = 2_000;

/** Applies the changes requested by operators. */
export class ResourceChanges {
  /**
   * @param context - Context shared by all tasks.
   * @param acceptor - Writes changes to the store.
   * @param refresh - Rereads the store immediately after an acceptance.
   * @param timeoutMs - Timeout for an acceptance, in milliseconds.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly acceptor: ChangeAcceptor,
    private readonly refresh: () => Promise<void>,
    private readonly timeoutMs: number,
  ) {}

  /**
   * Changes or deletes a resource; a dry run only returns the outcome.
   *
   * @param change - The requested change.
   * @param resource - The new body; null deletes.
   * @param by - Name of the operator.
   */
  async apply(
    change: ChangeRequest,
    resource: Resource | null,
    by: string,
  ): Promise<ResourceChangeResponse> {
    const existing = this.context.configuration.value.resources.get(change.key);
    this.assertReferencesExist(resource);
    if (resource === null && existing === undefined && change.isDryRun) {
      throw notFoundError(change.key);
    }
    const previous = existing?.resource ?? null;
    if (change.isDryRun) return this.dryRun(change, resource, previous);
    const record: ChangeRecord = {
      by,
      at: new Date().toISOString(),
      reason: change.reason,
    };
    const result = await this.acceptor.accept(
      {
        key: change.key,
        expectedVersion: change.expectedVersion,
        resource,
        change: record,
      },
      this.timeoutMs,
    );
    const {revision, version} = this.recordResult(change, result, record);
    await this.refresh();
    return {
      dryRun: false,
      revision,
      previousVersion: change.expectedVersion,
      version,
      previous,
      resource,
    };
  }

  /** Compares a change with the current configuration without applying it. */
  private dryRun(
    change: ChangeRequest,
    resource: Resource | null,
    previous: Resource | null,
  ): ResourceChangeResponse {
    const {revision, resources} = this.context.configuration.value;
    const current = resources.get(change.key)?.version ?? 0;
    if (current !== change.expectedVersion) {
      throw new VersionConflictError(change.expectedVersion, current);
    }
    const next = current === 0 ? revision + 1 : current + 1;
    return {
      dryRun: true,
      revision: revision + 1,
      previousVersion: current,
      version: resource === null ? 0 : next,
      previous,
      resource,
    };
  }

  /** Checks that the group and target instance of a promotion exist. */
  private assertReferencesExist(resource: Resource | null): void {
    if (resource?.kind !== 'promotion') return;
    const {resources} = this.context.configuration.value;
    const group = resources.get(`group/${resource.name}`)?.resource;
    if (group?.kind !== 'group') throw notFoundError(`group/${resource.name}`);
    if (group.instances.some(({name}) => name === resource.target)) return;
    const names = group.instances.map(({name}) => name).join(', ');
    throw new SapphiregladeError(
      ErrorKind.InvalidInput,
      `target: "${resource.target}" is none of ${names}.`,
      {field: 'target'},
    );
  }

  /** Records the result of an acceptance; throws if it was not accepted. */
  private recordResult(
    change: ChangeRequest,
    result: AcceptanceResult,
    {by, reason}: ChangeRecord,
  ): {revision: number; version: number} {
    const {events} = this.context;
    const {key: resource} = change;
    if (result.kind === 'accepted') {
      const {revision, version} = result;
      const fields = {revision, resource, version, by, reason};
      events.record('configuration-accepted', fields);
      return {revision, version};
    }
    events.record('configuration-refused', {resource, by, result: result.kind});
    throw toAcceptanceError(change, result);
  }
}

function toAcceptanceError(
  change: ChangeRequest,
  result: Exclude<AcceptanceResult, {kind: 'accepted'}>,
): SapphiregladeError {
  switch (result.kind) {
    case 'conflict':
      if (result.current === 0) return notFoundError(change.key);
      return new VersionConflictError(result.expected, result.current);
    case 'full':
      return new SapphiregladeError(
        ErrorKind.BodyTooLarge,
        'The index of all resources would be longer than the store allows.',
      );
    case 'not-accepted':
      return storeUnavailableError(
        'The change was not accepted; the store did not answer in time.',
        Outcome.NotRun,
      );
    case 'unknown':
      return storeUnavailableError(
        'The outcome of the change is unknown; read the resource to check it.',
        Outcome.Unknown,
      );
  }
}

function storeUnavailableError(
  message: string,
  outcome: Outcome,
): SapphiregladeError {
  return new SapphiregladeError(ErrorKind.StoreUnavailable, message, {
    outcome,
    retryAfterMs: STORE_RETRY_AFTER_MS,
  });
}

function notFoundError(key: string): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.NotFound,
    `There is no resource ${key}.`,
  );
}
