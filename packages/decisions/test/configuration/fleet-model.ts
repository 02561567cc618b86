/** Simulates proxies and operators that share one faulty store, without I/O. */
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

/** Outcome of one call to the store. */
export const CallFault = {
  None: 'none',
  LostRequest: 'lost-request',
  LostAnswer: 'lost-answer',
  Delayed: 'delayed',
  RateLimited: 'rate-limited',
  Stale: 'stale',
} as const;

/** A value of {@link CallFault}. */
export type CallFault = (typeof CallFault)[keyof typeof CallFault];

/** A change with its pending effect. */
interface RunningChange {
  state: AcceptanceState;
  effect: AcceptanceEffect;
}

/** Deadlines of changes, from short to long. */
const DEADLINES_MS = [120, 400, 2_000];
const STEP_MS = 20;
const PAGE_LENGTH = 300;
const STALE_VERSIONS = 2;

/** The simulated fleet. Every public method executes one step. */
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

  /** An operator requests a change based on the snapshot of one proxy. */
  propose(proxy: number, name: string, isDeletion: boolean): void {
    const key = `group/${name}`;
    const current = this.proxies[proxy]?.snapshot.resources.get(key);
    const writeId = `write-${this.changes.length}`;
    const proposal: ChangeProposal = {
      key,
      expectedVersion: current?.version ?? 0,
      resource:
        isDeletion && current !== undefined ? null : groupOf(name, writeId),
      change: {by: 'operator', at: '2026-01-01T00:00:00.000Z', reason: writeId},
      writeId,
    };
    this.proposals.set(writeId, proposal);
    const deadlineIndex = this.changes.length % DEADLINES_MS.length;
    const deadlineAtMs = this.nowMs + (DEADLINES_MS[deadlineIndex] ?? 0);
    this.changes.push(beginAcceptance(proposal, deadlineAtMs));
  }

  /** Executes the effect of one unfinished change, with a fault. */
  advance(index: number, fault: CallFault): void {
    const running = this.running();
    const change = running[index % Math.max(1, running.length)];
    if (change === undefined) return;
    this.nowMs += STEP_MS;
    const event = this.executeEffect(change.effect, fault);
    const input = {nowMs: this.nowMs, random: 0.5};
    Object.assign(change, advanceAcceptance(change.state, event, input));
  }

  /** Completes one unfinished change without faults. */
  complete(index: number): void {
    const running = this.running();
    const change = running[index % Math.max(1, running.length)];
    while (change !== undefined && change.effect.type !== 'finish') {
      this.advance(this.running().indexOf(change), CallFault.None);
    }
  }

  /** Delivers a delayed swap whose sender has stopped waiting. */
  deliverDelayed(): void {
    this.store.deliverDelayed();
  }

  /**
   * A proxy reads the head from the store, as the delegate of its zone or as a
   * second one at the same time.
   */
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

  /** A proxy pulls a delta from another, page by page; the last page may be lost. */
  pull(proxy: number, source: number, isLost: boolean): void {
    const [own, other] = [this.proxies[proxy], this.proxies[source]];
    if (own === undefined || other === undefined) return;
    if (this.paused.has(proxy) || this.paused.has(source)) return;
    const delta = buildDeltaSince(other, own.snapshot.revision);
    if (delta === undefined) return;
    const assembled = exchangePages(delta);
    this.pastDeltas.push(assembled);
    if (!isLost) this.applyToProxy(proxy, assembled);
  }

  /** Delivers an earlier delta again to a proxy. */
  replayDelta(proxy: number, index: number): void {
    if (this.paused.has(proxy) || this.pastDeltas.length === 0) return;
    this.applyToProxy(proxy, this.pastDeltas[index % this.pastDeltas.length]);
  }

  /** A proxy restarts with an empty history. */
  restart(proxy: number): void {
    this.paused.delete(proxy);
    this.proxies[proxy] = EMPTY_HISTORY;
  }

  /** Pauses or resumes a proxy. */
  togglePause(proxy: number): void {
    if (!this.paused.delete(proxy)) this.paused.add(proxy);
  }

  /** Deletes obsolete bodies according to a head that may be stale. */
  deleteObsoleteBodies(isStale: boolean): void {
    const {head} = this.store.readHead(isStale ? STALE_VERSIONS : 0);
    for (const key of findObsoleteBodies(head, [...this.store.bodies.keys()])) {
      this.store.bodies.delete(key);
    }
  }

  /** Ends all faults and completes all pending work. */
  recoverFromFaults(): void {
    this.paused.clear();
    this.store.deliverAll();
    while (this.running().length > 0) this.complete(0);
    this.store.deliverAll();
    this.followHead(0, CallFault.None);
    for (const proxy of this.proxies.keys()) this.pull(proxy, 0, false);
  }

  /** Returns the result of every change, by write identifier. */
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
    const answerLost = {
      type: 'store-failed',
      mayHaveTakenEffect: true,
    } as const;
    const refused = {type: 'store-failed', mayHaveTakenEffect: false} as const;
    if (effect.type === 'wait') return {type: 'retry-due'};
    if (fault === CallFault.RateLimited) return refused;
    if (fault === CallFault.LostRequest) return answerLost;
    if (effect.type === 'read-head') {
      if (fault === CallFault.LostAnswer) return answerLost;
      const versionsBack = fault === CallFault.Stale ? STALE_VERSIONS : 0;
      return {type: 'head-read', stored: this.store.readHead(versionsBack)};
    }
    if (effect.type === 'write-body') {
      this.store.bodies.set(effect.key, effect.value);
      return fault === CallFault.LostAnswer
        ? answerLost
        : {type: 'body-written'};
    }
    if (effect.type !== 'swap-head')
      throw new Error('change is already finished');
    const {expectedStoreVersion, head} = effect;
    if (fault === CallFault.Delayed) {
      this.store.delay(expectedStoreVersion, head);
      return answerLost;
    }
    const swapped = this.store.swap(expectedStoreVersion, head);
    if (fault === CallFault.LostAnswer) return answerLost;
    return {type: 'swap-answered', swapped, stored: this.store.readHead()};
  }
}

/** Splits a delta into pages and reassembles it. */
function exchangePages(delta: ConfigurationDelta): ConfigurationDelta {
  let page = slicePage(delta, 0, PAGE_LENGTH);
  let collection = appendPage(undefined, page);
  while (page.nextCursor !== null) {
    page = slicePage(delta, page.nextCursor, PAGE_LENGTH);
    collection = appendPage(collection, page);
  }
  if (collection === undefined) throw new Error('pages belong to two deltas');
  return assembleDelta(collection);
}

/** Returns a small group whose address identifies the change that wrote it. */
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
