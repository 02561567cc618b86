import type {DeltaPage, CollectedPages} from '@sapphireglade/decisions';
import {
  appendPage,
  slicePage,
  buildDeltaSince,
  assembleDelta,
} from '@sapphireglade/decisions';
import type {
  ConfigurationPage,
  ConfigurationPull,
} from '@sapphireglade/protocol';
import {configurationPageSchema} from '@sapphireglade/protocol';
import type {PeerLinks} from '../peers/index.js';
import type {LatestConfiguration} from './latest-configuration.js';

/** Maximum length of a page, in characters of JSON. */
const MAXIMUM_PAGE_LENGTH = 262_144;

/** Timeout of a page request, in milliseconds. */
const PAGE_TIMEOUT_MS = 5_000;

/** Pulls the configuration from other proxies and answers their pulls. */
export class PeerConfigurationSync {
  private active: Promise<boolean> | undefined;

  /**
   * @param holder - The configuration of this process.
   * @param links - The links to other proxies.
   */
  constructor(
    private readonly holder: LatestConfiguration,
    private readonly links: Pick<PeerLinks, 'request'>,
  ) {}

  /** Returns one page of the changes since the revision that a peer has. */
  answer({after, cursor}: ConfigurationPull): ConfigurationPage {
    const delta = buildDeltaSince(this.holder.history, after);
    if (delta === undefined) return {page: null};
    const page = slicePage(delta, cursor, MAXIMUM_PAGE_LENGTH);
    return {page: {...page, changes: [...page.changes]}};
  }

  /**
   * Pulls newer changes from a proxy; one pull runs at a time.
   *
   * @returns Whether the revision increased.
   */
  pull(peer: string): Promise<boolean> {
    this.active ??= this.pullDelta(peer).finally(() => {
      this.active = undefined;
    });
    return this.active;
  }

  /**
   * Pulls all pages of one delta; restarts if the revision of the peer changes.
   */
  private async pullDelta(peer: string): Promise<boolean> {
    const after = this.holder.revision;
    let collection: CollectedPages | undefined;
    let cursor: number | null = 0;
    while (cursor !== null) {
      const page = await this.pullPage(peer, after, cursor);
      if (page === null) return false;
      collection = appendPage(collection, page);
      cursor = collection === undefined ? 0 : page.nextCursor;
    }
    if (collection === undefined) return false;
    return this.holder.apply(assembleDelta(collection), peer);
  }

  private async pullPage(
    peer: string,
    after: number,
    cursor: number,
  ): Promise<DeltaPage | null> {
    const answer = await this.links.request(
      peer,
      {type: 'configuration-pull', after, cursor},
      PAGE_TIMEOUT_MS,
    );
    return configurationPageSchema.parse(answer).page;
  }
}
