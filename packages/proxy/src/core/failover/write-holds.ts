import type {GroupViews} from '../groups/index.js';

/** The gate of one group's writes. */
interface GroupWriteHold {
  /** Writes and open transactions in progress. */
  writesInProgress: number;
  /** Term whose writes are held back. */
  heldTerm: number;
  /** Ends the hold by itself. */
  timer: NodeJS.Timeout | undefined;
  /** Called when the hold ends. */
  readonly waiting: Set<() => void>;
  /** Called when the last write in progress ends. */
  readonly draining: Set<() => void>;
}

/**
 * Holds new writes back during a planned change of primary, and tells when
 * those in progress have ended.
 */
export class WriteHolds {
  private readonly holdsByGroup = new Map<string, GroupWriteHold>();

  /** @param views - A view of a higher term ends a hold. */
  constructor(views: GroupViews) {
    views.changes$.subscribe(({group, term}) => this.release(group, term - 1));
  }

  /**
   * Enters the gate of a group; waits while writes are held back.
   *
   * @param timeoutMs - How long to wait at most, in milliseconds; the write
   *   goes on then, and the upstream decides about its term.
   * @returns Must be called once when the write has ended.
   */
  async beginWrite(group: string, timeoutMs: number): Promise<() => void> {
    const gate = this.getOrCreateHold(group);
    if (gate.timer !== undefined) {
      await waitForCall(gate.waiting, timeoutMs);
    }
    gate.writesInProgress += 1;
    return once(() => this.endWrite(gate));
  }

  /**
   * Holds new writes of a term back.
   *
   * @param holdMs - How long at most, in milliseconds.
   * @returns Whether all writes in progress ended in that time.
   */
  async hold(group: string, term: number, holdMs: number): Promise<boolean> {
    const gate = this.getOrCreateHold(group);
    clearTimeout(gate.timer);
    gate.heldTerm = term;
    gate.timer = setTimeout(() => this.release(group, term), holdMs);
    if (gate.writesInProgress > 0) await waitForCall(gate.draining, holdMs);
    return gate.writesInProgress === 0;
  }

  /** Lets the writes of a group go on, if they are held for this term. */
  release(group: string, term: number): void {
    const gate = this.getOrCreateHold(group);
    if (gate.timer === undefined || gate.heldTerm > term) return;
    clearTimeout(gate.timer);
    gate.timer = undefined;
    callAll(gate.waiting);
  }

  private endWrite(gate: GroupWriteHold): void {
    gate.writesInProgress -= 1;
    if (gate.writesInProgress === 0) callAll(gate.draining);
  }

  private getOrCreateHold(group: string): GroupWriteHold {
    const known = this.holdsByGroup.get(group);
    if (known !== undefined) return known;
    const gate: GroupWriteHold = {
      writesInProgress: 0,
      heldTerm: 0,
      timer: undefined,
      waiting: new Set(),
      draining: new Set(),
    };
    this.holdsByGroup.set(group, gate);
    return gate;
  }
}

/** Waits for a call, at most for the given time. */
function waitForCall(calls: Set<() => void>, timeoutMs: number): Promise<void> {
  return new Promise(resolve => {
    const timer = setTimeout(end, timeoutMs);
    function end(): void {
      clearTimeout(timer);
      calls.delete(end);
      resolve();
    }
    calls.add(end);
  });
}

function callAll(calls: Set<() => void>): void {
  for (const call of [...calls]) call();
}

/** Makes a function that acts on its first call only. */
function once(action: () => void): () => void {
  let isDone = false;
  return () => {
    if (isDone) return;
    isDone = true;
    action();
  };
}
