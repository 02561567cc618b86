/** Model of proxies that share the connections of one instance, without I/O. */
import type {
  HolderObservations,
  ShareHolder,
  ShareSwapState,
  StoredShares,
} from '../../src/index.js';
import {
  EMPTY_SHARE_RECORD,
  nextShareSwap,
  observeShares,
  planShareChange,
  guaranteedConnections,
  UNKNOWN_SHARES,
} from '../../src/index.js';

export const CONNECTION_LIMIT = 10;
export const SHARE_SIZE = 5;
const INSTANCE = 'one';

/** Fault that is injected into the swap of a proxy. */
export const SwapFault = {
  None: 'none',
  LostRequest: 'lost-request',
  LostAnswer: 'lost-answer',
  Delayed: 'delayed',
} as const;

/** One of the faults. */
export type SwapFault = (typeof SwapFault)[keyof typeof SwapFault];

/** One run of a proxy and its open connections. */
interface ProxyRun extends ShareHolder {
  swap: ShareSwapState;
  wantsShare: boolean;
  open: number;
  /** Whether the run has ended; the VM list shows it. */
  hasEnded: boolean;
}

/** Model of the store, the instance and all runs. */
export class ShareFleet {
  private readonly runs: ProxyRun[] = [];
  private readonly current: ProxyRun[] = [];
  private readonly delayed: (() => void)[] = [];
  private stored: StoredShares = {storeVersion: 0, record: EMPTY_SHARE_RECORD};
  private writes = 0;

  constructor(size: number) {
    for (let index = 0; index < size; index += 1) this.start(index);
  }

  /** Number of connections that the instance counts. */
  get open(): number {
    return this.runs.reduce((sum, {open}) => sum + open, 0);
  }

  /** Number of proxies that may open connections. */
  get holders(): number {
    return this.current.filter(run => this.guaranteedConnections(run) > 0)
      .length;
  }

  setWantsShare(index: number, isWanted: boolean): void {
    const run = this.current[index];
    if (run !== undefined) run.wantsShare = isWanted;
  }

  /** Opens as many connections as the share allows. */
  openAll(index: number): void {
    const run = this.current[index];
    if (run === undefined || !run.wantsShare) return;
    run.open = Math.max(run.open, this.guaranteedConnections(run));
  }

  closeAll(index: number): void {
    const run = this.current[index];
    if (run !== undefined) run.open = 0;
  }

  /** Reads the record from the store. */
  read(index: number): void {
    const run = this.current[index];
    if (run !== undefined) run.swap = observeShares(run.swap, this.stored);
  }

  /** Sends the next swap. */
  swap(index: number, fault: SwapFault): void {
    const run = this.current[index];
    if (run === undefined) return;
    const next = nextShareSwap(run.swap, record => {
      const request = {
        instance: INSTANCE,
        size: run.wantsShare ? SHARE_SIZE : 0,
        limit: CONNECTION_LIMIT,
        openConnections: run.open,
      };
      const writeId = `write-${(this.writes += 1)}`;
      return planShareChange(
        record,
        run,
        [request],
        this.holderObservations(),
        writeId,
      );
    });
    if (next === undefined) return;
    run.swap = next.state;
    const applySwap = (): void => {
      if (this.stored.storeVersion !== next.swap.expectedStoreVersion) return;
      const storeVersion = this.stored.storeVersion + 1;
      this.stored = {storeVersion, record: next.swap.record};
    };
    if (fault === SwapFault.LostRequest) return;
    if (fault === SwapFault.Delayed) {
      this.delayed.push(applySwap);
      return;
    }
    applySwap();
    if (fault === SwapFault.None) this.read(index);
  }

  /** Releases a share by a delayed swap, then requests it again. */
  releaseInDoubt(index: number): void {
    this.closeAll(index);
    this.setWantsShare(index, false);
    this.swap(index, SwapFault.Delayed);
    this.setWantsShare(index, true);
    this.read(index);
    this.openAll(index);
  }

  deliverDelayed(): void {
    this.delayed.shift()?.();
  }

  /** Ends a run; the instance may keep counting its connections for a while. */
  restart(index: number, closesConnections: boolean): void {
    const run = this.current[index];
    if (run === undefined) return;
    run.hasEnded = true;
    if (closesConnections) run.open = 0;
    this.start(index);
  }

  /** Lets the instance drop the connections of runs that have ended. */
  dropEndedConnections(): void {
    for (const run of this.runs) {
      if (run.hasEnded) run.open = 0;
    }
  }

  private start(index: number): void {
    const run: ProxyRun = {
      holder: `entry-${index}`,
      boot: `boot-${this.runs.length}`,
      swap: UNKNOWN_SHARES,
      wantsShare: true,
      open: 0,
      hasEnded: false,
    };
    this.runs.push(run);
    this.current[index] = run;
  }

  private guaranteedConnections(run: ProxyRun): number {
    return guaranteedConnections(run.swap, run, INSTANCE);
  }

  private holderObservations(): HolderObservations {
    const find = (holder: ShareHolder): ProxyRun | undefined =>
      this.runs.find(({boot}) => boot === holder.boot);
    return {
      hasRunEnded: holder => find(holder)?.hasEnded ?? true,
      countConnections: (_instance, holder) => find(holder)?.open,
    };
  }
}
