import {
  ERROR_CATALOGUE,
  Outcome,
  ReadConsistency,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import {StatementKind} from '../../src/index.js';
import type {CallerSession, SessionReply} from '../../src/index.js';
import type {FleetProxy, MemoryFleet} from './memory-fleet.js';

/** Delay between two requests of a caller, in milliseconds. */
const REQUEST_DELAY_MS = 12;

/** Maximum staleness of reads of each route, in milliseconds. */
const MAXIMUM_STALENESS_MS: Readonly<Record<string, number>> = {
  [ReadConsistency.Primary]: 0,
  [ReadConsistency.BoundedStaleness]: 700,
  [ReadConsistency.ReadYourWrites]: 900,
};

/** A read without a commit that it had to include. */
export interface StaleRead {
  readonly proxy: string;
  readonly route: string;
  readonly missing: string;
}

/** Callers of every proxy, and an observer that compares their results with the logs of the instances. */
export class ObservedCallers {
  readonly staleReads: StaleRead[] = [];
  /** Writes that were reported to callers as not run. */
  readonly promisedNotRun: string[] = [];
  /** Writes that were acknowledged to callers. */
  readonly told: string[] = [];
  /** When each proxy last acknowledged a write, in milliseconds. */
  readonly lastWriteMs = new Map<string, number>();
  private isRunning = true;
  private readonly running: Promise<void>[] = [];
  private nextRequest = 0;

  constructor(private readonly fleet: MemoryFleet) {}

  /** Starts one writer and one reader per route at every proxy. */
  start(): void {
    for (const proxy of this.fleet.proxies) {
      this.running.push(this.write(proxy));
      for (const route of Object.keys(MAXIMUM_STALENESS_MS)) {
        this.running.push(this.read(proxy, route));
      }
    }
  }

  /** Stops all callers and waits for their last replies. */
  async stop(): Promise<void> {
    this.isRunning = false;
    await Promise.all(this.running);
  }

  private async write(proxy: FleetProxy): Promise<void> {
    const session = proxy.open(ReadConsistency.ReadYourWrites);
    while (this.isRunning) {
      const requestId = this.newRequest(proxy);
      const reply = await session.handle({
        requestId,
        statement: {kind: StatementKind.Write, text: 'WRITE'},
      });
      this.noteWrite(proxy, requestId, reply);
      if (reply.failure === undefined) {
        await this.checkOwnWrite(proxy, session, requestId);
      }
      await sleep(REQUEST_DELAY_MS);
    }
    session.end();
  }

  /** Records a stale read unless the next read of the session includes its own write. */
  private async checkOwnWrite(
    proxy: FleetProxy,
    session: CallerSession,
    requestId: string,
  ): Promise<void> {
    const reply = await session.handle({
      requestId: this.newRequest(proxy),
      statement: {kind: StatementKind.Read, text: 'READ'},
    });
    if (reply.failure !== undefined || reply.rows.includes(requestId)) return;
    this.staleReads.push({
      proxy: proxy.name,
      route: 'own write',
      missing: requestId,
    });
  }

  private noteWrite(
    proxy: FleetProxy,
    requestId: string,
    reply: SessionReply,
  ): void {
    if (reply.failure === undefined) {
      this.told.push(requestId);
      this.lastWriteMs.set(proxy.name, performance.now());
      return;
    }
    const {outcome} = ERROR_CATALOGUE[reply.failure.kind];
    if (outcome === Outcome.NotRun) this.promisedNotRun.push(requestId);
  }

  private async read(proxy: FleetProxy, route: string): Promise<void> {
    const stalenessMs = MAXIMUM_STALENESS_MS[route] ?? 0;
    while (this.isRunning) {
      const sentAtMs = performance.now();
      const requiredWrites = this.acknowledgedBefore(sentAtMs - stalenessMs);
      const session = proxy.open(route);
      const reply = await session.handle({
        requestId: this.newRequest(proxy),
        statement: {kind: StatementKind.Read, text: 'READ'},
      });
      session.end();
      if (reply.failure === undefined)
        this.check(proxy, route, reply, requiredWrites);
      await sleep(REQUEST_DELAY_MS);
    }
  }

  private check(
    proxy: FleetProxy,
    route: string,
    reply: SessionReply,
    requiredWrites: readonly string[],
  ): void {
    const rows = new Set(reply.rows);
    const missing = requiredWrites.find(requestId => !rows.has(requestId));
    if (missing === undefined) return;
    this.staleReads.push({proxy: proxy.name, route, missing});
  }

  private acknowledgedBefore(limitMs: number): string[] {
    return [...this.fleet.group.acknowledged]
      .filter(([, {atMs}]) => atMs < limitMs)
      .map(([requestId]) => requestId);
  }

  private newRequest(proxy: FleetProxy): string {
    this.nextRequest += 1;
    return `${proxy.name}/${this.nextRequest}`;
  }
}
