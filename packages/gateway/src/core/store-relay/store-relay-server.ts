import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {StoreMirror} from '../store/index.js';
import {steadyNowMs} from '../time/index.js';
import type {RelayResponse, RelayRequest} from './messages.js';

/** A section of the store and the state of its copy. */
export interface RelaySource {
  readonly mirror: StoreMirror;
  /**
   * Returns the last received revision; undefined while the store is not
   * followed.
   */
  readonly revision: () => number | undefined;
  /**
   * Returns the time since the store is known to have held nothing newer, in
   * milliseconds.
   */
  readonly ageMs: () => number;
}

/** Time after a request for which the content counts as relayed, in milliseconds; a proxy that found it too old asks again within it. */
const RELAY_USE_MS = 2_000;

/** Relays the store content received by this proxy. */
export class StoreRelayServer {
  private lastRequestAtMs = -Infinity;

  /**
   * @param members - The list of live proxies.
   * @param configuration - The operators' configuration.
   * @param generation - Returns the current generation of the store.
   */
  constructor(
    private readonly members: RelaySource,
    private readonly configuration: RelaySource,
    private readonly generation: () => number,
  ) {}

  /** Whether other proxies currently receive the content from this one. */
  get isUsed(): boolean {
    return steadyNowMs() - this.lastRequestAtMs < RELAY_USE_MS;
  }

  /**
   * Returns the changes since the revisions of a request.
   *
   * @throws SapphiregladeError of kind `not-ready` if this proxy does not
   *   follow the store or gets no response from it, so that the requester uses
   *   another source.
   */
  answer({known: requested, ...request}: RelayRequest): RelayResponse {
    this.lastRequestAtMs = steadyNowMs();
    const generation = this.generation();
    // Revisions of another generation cannot be compared.
    const known = (request.generation ?? 0) === generation ? requested : {};
    return {
      generation,
      members: changesOf(this.members, known.members),
      configuration: changesOf(this.configuration, known.configuration),
    };
  }
}

function changesOf(
  {mirror, revision, ageMs}: RelaySource,
  known: number | undefined,
): RelayResponse['members'] {
  const currentRevision = revision();
  if (currentRevision === undefined) {
    throw new SapphiregladeError(
      ErrorKind.NotReady,
      'This proxy currently has no up-to-date store content.',
    );
  }
  const {isWhole, items, removals} = mirror.changesSince(known);
  return {
    revision: currentRevision,
    ageMs: ageMs(),
    isWhole,
    items: [...items],
    removals: [...removals],
  };
}
