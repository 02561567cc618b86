import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {StoreMirror} from '../store/index.js';
import type {RelayResponse, RelayRequest} from './messages.js';

/** A part of the store, and how well it is known here. */
export interface RelaySource {
  readonly mirror: StoreMirror;
  /** Changes up to this revision are known; nothing while the store is not followed. */
  readonly revision: () => number | undefined;
}

/** Passes on what this proxy knows of the store. */
export class StoreRelayServer {
  /**
   * @param members - The list of live proxies.
   * @param configuration - The operators' configuration.
   */
  constructor(
    private readonly members: RelaySource,
    private readonly configuration: RelaySource,
  ) {}

  /**
   * Answers a request for news.
   *
   * @throws SapphiregladeError of kind `not-ready` if the store does not answer
   *   this proxy, so that whoever asks finds another source.
   */
  answer({known}: RelayRequest): RelayResponse {
    return {
      members: changesOf(this.members, known.members),
      configuration: changesOf(this.configuration, known.configuration),
    };
  }
}

function changesOf(
  {mirror, revision}: RelaySource,
  known: number | undefined,
): RelayResponse['members'] {
  const upTo = revision();
  if (upTo === undefined) {
    throw new SapphiregladeError(
      ErrorKind.NotReady,
      'The store does not answer this proxy at the moment.',
    );
  }
  const {isWhole, items, removals} = mirror.changesSince(known);
  return {
    revision: upTo,
    isWhole,
    items: [...items],
    removals: [...removals],
  };
}
