import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {StoreMirror} from '../store/index.js';
import type {NewsAnswer, NewsRequest} from './messages.js';

/** A part of the store, and how well it is known here. */
export interface NewsSource {
  readonly mirror: StoreMirror;
  /** Changes up to this revision are known; nothing while the store is not followed. */
  readonly revision: () => number | undefined;
}

/** Passes on what this proxy knows of the store. */
export class NewsDesk {
  /**
   * @param members - The list of live proxies.
   * @param configuration - The operators' configuration.
   */
  constructor(
    private readonly members: NewsSource,
    private readonly configuration: NewsSource,
  ) {}

  /**
   * Answers a request for news.
   *
   * @throws SapphiregladeError of kind `not-ready` if the store does not answer
   *   this proxy, so that whoever asks finds another source.
   */
  answer({known}: NewsRequest): NewsAnswer {
    return {
      members: changesOf(this.members, known.members),
      configuration: changesOf(this.configuration, known.configuration),
    };
  }
}

function changesOf(
  {mirror, revision}: NewsSource,
  known: number | undefined,
): NewsAnswer['members'] {
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
