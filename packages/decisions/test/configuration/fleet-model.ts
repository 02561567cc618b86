/** A fleet of proxies and operators around one faulty store, without I/O. */
import type {
  AcceptanceEffect,
  AcceptanceEvent,
  AcceptanceResult,
  AcceptanceState,
  ChangeProposal,
  ConfigurationDelta,
  ConfigurationHistory,
  GroupResource,
  VersionedResource,
} from '../../src/index.js';
import {
  advanceAcceptance,
  applyDelta,
  beginAcceptance,
  listMissingBodies,
  appendPage,
  slicePage,
  findObsoleteBodies,
  decodeBody,
  buildDeltaSince,
  buildDeltaToHead,
  EMPTY_HISTORY,
  assembleDelta,
} from '../../src/index.js';
import {FaultyStore} from './faulty-store.js';
import {ReferenceConfiguration} from './reference-configuration.js';

/** How one call to the store ends. */
export const CallFault = {
  None: 'none',
  LostRequest: 'lost-request',
  LostAnswer: 'lost-answer',
  Delayed: 'delayed',
  RateLimited: 'rate-limited',
  Stale: 'stale',
} as const;

/** One of the faults. */
export type CallFault = (typeof CallFault)[keyof typeof CallFault];

/** A change on its way, with the effect that it waits for. */
interface RunningChange {
  state: AcceptanceState;
  effect: AcceptanceEffect;
}

/** Deadlines of operators, from impatient to patient. */
const DEADLINES_MS = [120, 400, 2_000];
const STEP_MS = 20;
const PAGE_LENGTH = 300;
const STALE_VERSIONS = 2;

/** The fleet. Every method is one step of one part of it. */
export class FleetModel {
  readonly reference = new ReferenceConfiguration();
  readonly changes: RunningChange[] = [];
  readonly proxies: ConfigurationHistory[];
  private readonly proposals = new Map<string, ChangeProposal>();
  private readonly paused = new Set<number>();
  private readonly pastDeltas: ConfigurationDelta[] = [];
  private readonly store = new FaultyStore(head => {
    const proposal = this.proposals.get(head.writeId);
    if (proposal === undefined) throw new Error('unknown change');
    this.reference.apply(proposal);
    if (head.revision !== this.reference.revisions.length - 1) {
      throw new Error('the revision of the head is not the next one');
    }
  });
  private nowMs = 0;

  constructor(size: number) {
    this.proxies = Array.from({length: size}, () => EMPTY_HISTORY);
  }

  /** An operator asks one proxy for a change of what it shows. */
  propose(proxy: number, name: string, isDeletion: boolean): void {
    const key = `group/${name}`;
    const seen = this.proxies[proxy]?.snapshot.resources.get(key);
    const writeId = `write-${this.changes.length}`;
    const proposal: ChangeProposal = {
      key,
      expectedVersion: seen?.version ?? 0,
      resource:
        isDeletion && seen !== undefined ? null : groupOf(name, writeId),
      change: {by: 'operator', at: '2026-01-01T00:00:00.000Z', reason: writeId},
      writeId,
    };
    this.proposals.set(writeId, proposal);
    const patience = this.changes.length % DEADLINES_MS.length;
    const deadlineAtMs = this.nowMs + (DEADLINES_MS[patience] ?? 0);
    this.changes.push(beginAcceptance(proposal, deadlineAtMs));
  }

  /** Carries out the effect of one unfinished change, with a fault. */
  advance(index: number, fault: CallFault): void {
    const running = this.running();
    const change = running[index % Math.max(1, running.length)];
    if (change === undefined) return;
    this.nowMs += STEP_MS;
    const event = this.executeEffect(change.effect, fault);
    const input = {nowMs: this.nowMs, random: 0.5};
    Object.assign(change, advanceAcceptance(change.state, event, input));
  }

  /** Brings one unfinished change to its end without faults. */
  complete(index: number): void {
    const running = this.running();
    const change = running[index % Math.max(1, running.length)];
    while (change !== undefined && change.effect.type !== 'finish') {
      this.advance(this.running().indexOf(change), CallFault.None);
    }
  }

  /** A swap that its sender gave up arrives after all. */
  deliverDelayed(): void {
    this.store.deliverDelayed();
  }

  /** A proxy reads the store, as the delegate of its zone or as a second one. */
  followHead(proxy: number, fault: CallFault): void {
    const history = this.proxies[proxy];
    if (history === undefined || this.paused.has(proxy)) return;
    const versionsBack = fault === CallFault.Stale ? STALE_VERSIONS : 0;
    const {head} = this.store.readHead(versionsBack);
    if (fault === CallFault.LostRequest) return;
    const fetched = new Map<string, VersionedResource>();
    for (const {key, version, bodyKey} of listMissingBodies(history, head)) {
      const value = this.store.bodies.get(bodyKey);
      if (value !== undefined) fetched.set(key, decodeBody(value, version));
    }
    this.applyToProxy(proxy, buildDeltaToHead(history, head, fetched));
  }

  /** A proxy learns from another, page by page; the last page may be lost. */
  pull(proxy: number, source: number, isLost: boolean): void {
    const [own, other] = [this.proxies[proxy], this.proxies[source]];
    if (own === undefined || other === undefined) return;
    if (this.paused.has(proxy) || this.paused.has(source)) return;
    const delta = buildDeltaSince(other, own.snapshot.revision);
    if (delta === undefined) return;
    const joined = exchangePages(delta);
    this.pastDeltas.push(joined);
    if (!isLost) this.applyToProxy(proxy, joined);
  }

  /** A delta of before arrives again at some proxy. */
  replayDelta(proxy: number, index: number): void {
    if (this.paused.has(proxy) || this.pastDeltas.length === 0) return;
    this.applyToProxy(proxy, this.pastDeltas[index % this.pastDeltas.length]);
  }

  /** A proxy restarts and knows nothing. */
  restart(proxy: number): void {
    this.paused.delete(proxy);
    this.proxies[proxy] = EMPTY_HISTORY;
  }

  /** A proxy stops for a while, or goes on. */
  togglePause(proxy: number): void {
    if (!this.paused.delete(proxy)) this.paused.add(proxy);
  }

  /** Deletes dead bodies, by a head that may be old. */
  deleteObsoleteBodies(isStale: boolean): void {
    const {head} = this.store.readHead(isStale ? STALE_VERSIONS : 0);
    for (const key of findObsoleteBodies(head, [...this.store.bodies.keys()])) {
      this.store.bodies.delete(key);
    }
  }

  /** Ends every fault and lets everything come to rest. */
  recoverFromFaults(): void {
    this.paused.clear();
    this.store.deliverAll();
    while (this.running().length > 0) this.complete(0);
    this.store.deliverAll();
    this.followHead(0, CallFault.None);
    for (const proxy of this.proxies.keys()) this.pull(proxy, 0, false);
  }

  /** The result of every change, by write identifier. */
  results(): Map<string, AcceptanceResult> {
    return new Map(
      this.changes.map(({state, effect}) => {
        if (effect.type !== 'finish') throw new Error('not finished');
        return [state.proposal.writeId, effect.result];
      }),
    );
  }

  private running(): RunningChange[] {
    return this.changes.filter(({effect}) => effect.type !== 'finish');
  }

  private applyToProxy(
    proxy: number,
    delta: ConfigurationDelta | undefined,
  ): void {
    const history = this.proxies[proxy];
    if (history === undefined || delta === undefined) return;
    const next = applyDelta(history, delta);
    if (next.snapshot.revision < history.snapshot.revision) {
      throw new Error('the configuration reverted');
    }
    this.proxies[proxy] = next;
  }

  private executeEffect(
    effect: AcceptanceEffect,
    fault: CallFault,
  ): AcceptanceEvent {
    const lost = {type: 'store-failed', mayHaveTakenEffect: true} as const;
    const refused = {type: 'store-failed', mayHaveTakenEffect: false} as const;
    if (effect.type === 'wait') return {type: 'retry-due'};
    if (fault === CallFault.RateLimited) return refused;
    if (fault === CallFault.LostRequest) return lost;
    if (effect.type === 'read-head') {
      if (fault === CallFault.LostAnswer) return lost;
      const versionsBack = fault === CallFault.Stale ? STALE_VERSIONS : 0;
      return {type: 'head-read', stored: this.store.readHead(versionsBack)};
    }
    if (effect.type === 'write-body') {
      this.store.bodies.set(effect.key, effect.value);
      return fault === CallFault.LostAnswer ? lost : {type: 'body-written'};
    }
    if (effect.type !== 'swap-head') throw new Error('finished already');
    const {expectedStoreVersion, head} = effect;
    if (fault === CallFault.Delayed) {
      this.store.delay(expectedStoreVersion, head);
      return lost;
    }
    const swapped = this.store.swap(expectedStoreVersion, head);
    if (fault === CallFault.LostAnswer) return lost;
    return {type: 'swap-answered', swapped, stored: this.store.readHead()};
  }
}

/** Sends a delta as pages and joins them again. */
function exchangePages(delta: ConfigurationDelta): ConfigurationDelta {
  let page = slicePage(delta, 0, PAGE_LENGTH);
  let collection = appendPage(undefined, page);
  while (page.nextCursor !== null) {
    page = slicePage(delta, page.nextCursor, PAGE_LENGTH);
    collection = appendPage(collection, page);
  }
  if (collection === undefined) throw new Error('pages of two deltas');
  return assembleDelta(collection);
}

/** A small group whose address tells which change wrote it. */
function groupOf(name: string, address: string): GroupResource {
  return {
    kind: 'group',
    name,
    allowedAgeMs: 1_000,
    instances: [
      {
        name: 'one',
        zone: 'a',
        address,
        port: 1,
        slots: 3,
        connectionLimit: 20,
        state: 'active',
      },
    ],
  };
}
