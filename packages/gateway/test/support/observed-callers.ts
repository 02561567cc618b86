import {
  ERROR_CATALOGUE,
  Outcome,
  ReadConsistency,
} from '@sapphireglade/decisions';
import {setTimeout as sleep} from 'node:timers/promises';
import {StatementKind} from '../../src/index.js';
import type {CallerSession, SessionReply} from '../../src/index.js';
import type {FleetProxy, MemoryFleet} from './memory-fleet.js';

/** Pause between two requests of a caller, in milliseconds. */
const PAUSE_MS = 12;

/** How old reads of each route may be, in milliseconds. */
const ALLOWED_AGE_MS: Readonly<Record<string, number>> = {
  [ReadConsistency.Primary]: 0,
  [ReadConsistency.BoundedStaleness]: 700,
  [ReadConsistency.ReadYourWrites]: 900,
};

/** A read that lacked a commit which it had to show. */
export interface StaleRead {
  readonly proxy: string;
  readonly route: string;
  readonly missing: string;
}

/** Callers at every proxy, and an observer that compares with the true logs. */
export class ObservedCallers {
  readonly staleReads: StaleRead[] = [];
  /** Writes that callers were told did not run. */
  readonly promisedNotRun: string[] = [];
  /** Writes that callers were told were kept. */
  readonly told: string[] = [];
  /** When a write was last told to be kept at each proxy, in milliseconds. */
  readonly lastWriteMs = new Map<string, number>();
  private isRunning = true;
  private readonly running: Promise<void>[] = [];
  private nextRequest = 0;

  constructor(private readonly fleet: MemoryFleet) {}

  /** Starts one writer and readers of each kind at every proxy. */
  start(): void {
    for (const proxy of this.fleet.proxies) {
      this.running.push(this.write(proxy));
      for (const route of Object.keys(ALLOWED_AGE_MS)) {
        this.running.push(this.read(proxy, route));
      }
    }
  }

  /** Stops all callers and waits for their last answers. */
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
      await sleep(PAUSE_MS);
    }
    session.end();
  }

  /** The session's next read has to show its own write. */
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
    const ageMs = ALLOWED_AGE_MS[route] ?? 0;
    while (this.isRunning) {
      const sentAtMs = performance.now();
      const due = this.acknowledgedBefore(sentAtMs - ageMs);
      const session = proxy.open(route);
      const reply = await session.handle({
        requestId: this.newRequest(proxy),
        statement: {kind: StatementKind.Read, text: 'READ'},
      });
      session.end();
      if (reply.failure === undefined) this.check(proxy, route, reply, due);
      await sleep(PAUSE_MS);
    }
  }

  private check(
    proxy: FleetProxy,
    route: string,
    reply: SessionReply,
    due: readonly string[],
  ): void {
    const rows = new Set(reply.rows);
    const missing = due.find(requestId => !rows.has(requestId));
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
