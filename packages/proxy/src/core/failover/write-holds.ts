import type {GroupViews} from '../groups/index.js';

/** State of the writes of one group. */
interface GroupWriteHold {
  /** Number of writes in progress and open transactions. */
  writesInProgress: number;
  /** Term for which writes were last held. */
  heldTerm: number;
  /** Ends the hold at its timeout; `undefined` while writes are not held. */
  timer: NodeJS.Timeout | undefined;
  /** Called when the hold ends. */
  readonly waiting: Set<() => void>;
  /** Called when the last write in progress ends. */
  readonly draining: Set<() => void>;
}

/**
 * Holds new writes during a planned change of primary and waits for the writes
 * in progress to end.
 */
export class WriteHolds {
  private readonly holdsByGroup = new Map<string, GroupWriteHold>();

  /** @param views - The group views; a view of a higher term ends a hold. */
  constructor(views: GroupViews) {
    views.changes$.subscribe(({group, term}) => this.release(group, term - 1));
  }

  /**
   * Registers a write of a group; waits while writes are held.
   *
   * @param timeoutMs - Maximum wait, in milliseconds. The write then continues,
   *   and the upstream validates its term.
   * @returns A function that must be called once when the write has ended.
   */
  async beginWrite(group: string, timeoutMs: number): Promise<() => void> {
    const hold = this.getOrCreateHold(group);
    if (hold.timer !== undefined) {
      await waitForCall(hold.waiting, timeoutMs);
    }
    hold.writesInProgress += 1;
    return once(() => this.endWrite(hold));
  }

  /**
   * Holds new writes of a term.
   *
   * @param holdMs - Maximum duration of the hold, in milliseconds.
   * @returns Whether all writes in progress ended within that duration.
   */
  async hold(group: string, term: number, holdMs: number): Promise<boolean> {
    const hold = this.getOrCreateHold(group);
    clearTimeout(hold.timer);
    hold.heldTerm = term;
    hold.timer = setTimeout(() => this.release(group, term), holdMs);
    if (hold.writesInProgress > 0) await waitForCall(hold.draining, holdMs);
    return hold.writesInProgress === 0;
  }

  /** Ends the hold of a group, if it is for this term or a lower one. */
  release(group: string, term: number): void {
    const hold = this.getOrCreateHold(group);
    if (hold.timer === undefined || hold.heldTerm > term) return;
    clearTimeout(hold.timer);
    hold.timer = undefined;
    callAll(hold.waiting);
  }

  private endWrite(hold: GroupWriteHold): void {
    hold.writesInProgress -= 1;
    if (hold.writesInProgress === 0) callAll(hold.draining);
  }

  private getOrCreateHold(group: string): GroupWriteHold {
    const existing = this.holdsByGroup.get(group);
    if (existing !== undefined) return existing;
    const hold: GroupWriteHold = {
      writesInProgress: 0,
      heldTerm: 0,
      timer: undefined,
      waiting: new Set(),
      draining: new Set(),
    };
    this.holdsByGroup.set(group, hold);
    return hold;
  }
}

/** Waits until one of the callbacks is called or the timeout ends. */
function waitForCall(
  callbacks: Set<() => void>,
  timeoutMs: number,
): Promise<void> {
  return new Promise(resolve => {
    const timer = setTimeout(end, timeoutMs);
    function end(): void {
      clearTimeout(timer);
      callbacks.delete(end);
      resolve();
    }
    callbacks.add(end);
  });
}

function callAll(callbacks: Set<() => void>): void {
  for (const callback of [...callbacks]) callback();
}

/** Returns a function that runs the action on its first call only. */
function once(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (isDone) return;
    isDone = true;
    action();
  };
}
