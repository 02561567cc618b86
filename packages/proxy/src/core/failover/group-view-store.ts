import type {GroupView} from '@sapphireglade/decisions';
import {newerView} from '@sapphireglade/decisions';
import type {GetResponse} from '@sapphireglade/protocol';
import {groupViewSchema} from '@sapphireglade/protocol';
import type {ProxyContext} from '../context/index.js';
import type {PlatformStore} from '../store/index.js';

/** Prefix of the store keys that contain group views. */
const KEY_PREFIX = 'sapphireglade/group-view/';

/** Delay after the first failure, in milliseconds; it doubles each time. */
const INITIAL_BACKOFF_MS = 200;

/** Maximum delay after a failure, in milliseconds. */
const MAXIMUM_BACKOFF_MS = 10_000;

/**
 * Writes group views to the store and retries while the store is unavailable.
 * A stored view is only replaced by one of a higher term.
 */
export class GroupViewStore {
  private readonly pendingViews = new Map<string, GroupView>();
  private readonly receivedAtMs = new Map<string, number>();
  private timer: NodeJS.Timeout | undefined;
  private isWriting = false;
  private isClosed = false;
  private failures = 0;

  /**
   * @param context - Records each stored view in the timeline.
   * @param store - The platform's store.
   */
  constructor(
    private readonly context: ProxyContext,
    private readonly store: PlatformStore,
  ) {}

  /** Queues a view and starts writing it. */
  write(view: GroupView): void {
    const latest = newerView(this.pendingViews.get(view.group), view);
    this.pendingViews.set(view.group, latest);
    this.receivedAtMs.set(view.group, performance.now());
    void this.writeAll();
  }

  /** Stops retrying; views that are not yet written are dropped. */
  close(): void {
    this.isClosed = true;
    clearTimeout(this.timer);
  }

  private async writeAll(): Promise<void> {
    if (this.isWriting || this.isClosed) return;
    this.isWriting = true;
    try {
      for (const view of [...this.pendingViews.values()])
        await this.writeOne(view);
      this.failures = 0;
    } catch {
      this.scheduleRetry();
    } finally {
      this.isWriting = false;
    }
  }

  /** Replaces the stored view if its term is lower. */
  private async writeOne(view: GroupView): Promise<void> {
    const key = KEY_PREFIX + view.group;
    let stored = await this.store.get(key);
    while (storedTermOf(stored) < view.term) {
      const expectedVersion = stored.version;
      const value = JSON.stringify(view);
      const answer = await this.store.compareAndSwap({
        key,
        expectedVersion,
        value,
      });
      if (answer.swapped) this.recordStored(view);
      stored = answer;
    }
    if (this.pendingViews.get(view.group) === view)
      this.pendingViews.delete(view.group);
  }

  private recordStored({group, primary, term}: GroupView): void {
    const receivedAtMs = this.receivedAtMs.get(group) ?? performance.now();
    const tookMs = performance.now() - receivedAtMs;
    this.context.events.record('view-stored', {group, primary, term, tookMs});
  }

  private scheduleRetry(): void {
    const backoffMs = INITIAL_BACKOFF_MS * 2 ** this.failures;
    this.failures += 1;
    clearTimeout(this.timer);
    this.timer = setTimeout(
      () => void this.writeAll(),
      Math.min(backoffMs, MAXIMUM_BACKOFF_MS),
    );
  }
}

/** Returns the term of a stored view; 0 if it is missing or malformed. */
function storedTermOf({value}: Pick<GetResponse, 'value'>): number {
  if (value === null) return 0;
  try {
    return groupViewSchema.parse(JSON.parse(value)).term;
  } catch {
    return 0;
  }
}
