import {ErrorKind, Outcome, SapphiregladeError} from '@sapphireglade/decisions';
import type {
  GetResponse,
  LeaseResponse,
  LeaseRequest,
  CompareAndSwapResponse,
  CompareAndSwapRequest,
} from '@sapphireglade/protocol';
import {PlatformStore} from '../../src/index.js';

/** Fault injected into a call to the store. */
export const StoreFault = {
  None: 'none',
  /** The call does not arrive and gets no answer. */
  LostRequest: 'lost-request',
  /** The call takes effect, but its answer is lost. */
  LostResponse: 'lost-answer',
  /** The store refuses the call, as rate-limited or unreachable. */
  Refused: 'refused',
  /** The answer contains the state before the latest change. */
  Stale: 'stale',
  /** A watch answers without a change. */
  Duplicate: 'duplicate',
} as const;

/** A value of {@link StoreFault}. */
export type StoreFault = (typeof StoreFault)[keyof typeof StoreFault];

/** Calls into which faults can be injected. */
export type StoreCall = 'get' | 'swap' | 'watch' | 'lease';

interface Entry {
  readonly version: number;
  readonly value: string | null;
}

const NO_ENTRY: Entry = {version: 0, value: null};

/** In-memory store with faults injected into individual calls. */
export class InMemoryStore extends PlatformStore {
  readonly calls: StoreCall[] = [];
  /** All entries of each key since its creation, the current one last. */
  private readonly entries = new Map<string, Entry[]>();
  private readonly leases = new Map<
    string,
    {holder: string; untilMs: number}
  >();
  private readonly faults: {call: StoreCall; fault: StoreFault}[] = [];

  /** Injects faults into the next calls of a kind, one per call. */
  failNext(call: StoreCall, ...faults: StoreFault[]): void {
    for (const fault of faults) this.faults.push({call, fault});
  }

  /** Expires a lease immediately. */
  expireLease(key: string): void {
    this.leases.delete(key);
  }

  /** Returns the version of a key, which counts its writes. */
  versionOf(key: string): number {
    return this.read(key).version;
  }

  get(key: string): Promise<GetResponse> {
    return this.answer('get', () => this.read(key), key);
  }

  compareAndSwap(
    request: CompareAndSwapRequest,
  ): Promise<CompareAndSwapResponse> {
    return this.answer('swap', () => this.swap(request));
  }

  delete(
    key: string,
    expectedVersion: number,
  ): Promise<CompareAndSwapResponse> {
    return this.answer('swap', () => {
      const current = this.read(key);
      const swapped = current.version === expectedVersion;
      if (swapped) this.entries.delete(key);
      return {swapped, ...current};
    });
  }

  async list(prefix: string): Promise<readonly string[]> {
    return [...this.entries.keys()].filter(key => key.startsWith(prefix));
  }

  watch(key: string): Promise<GetResponse> {
    return this.answer('watch', () => this.read(key), key);
  }

  acquireLease(request: LeaseRequest): Promise<LeaseResponse> {
    return this.answer('lease', () => this.lease(request));
  }

  releaseLease(request: LeaseRequest): Promise<LeaseResponse> {
    return this.answer('lease', () => {
      const held = this.leases.get(request.key)?.holder === request.holder;
      if (held) this.leases.delete(request.key);
      return {held: false, holder: null, remainingMs: 0};
    });
  }

  private async answer<Answer>(
    call: StoreCall,
    run: () => Answer,
    key?: string,
  ): Promise<Answer> {
    this.calls.push(call);
    const fault = this.takeFault(call);
    if (fault === StoreFault.LostRequest)
      throw storeUnavailableError(Outcome.Unknown);
    if (fault === StoreFault.Refused)
      throw storeUnavailableError(Outcome.NotRun);
    if (fault === StoreFault.Stale && key !== undefined) {
      const [older = NO_ENTRY] = (this.entries.get(key) ?? []).slice(-2);
      return older as Answer;
    }
    const answer = run();
    if (fault === StoreFault.LostResponse)
      throw storeUnavailableError(Outcome.Unknown);
    return answer;
  }

  private takeFault(call: StoreCall): StoreFault | undefined {
    const index = this.faults.findIndex(entry => entry.call === call);
    if (index < 0) return undefined;
    return this.faults.splice(index, 1)[0]?.fault;
  }

  private read(key: string): Entry {
    return this.entries.get(key)?.slice(-1)[0] ?? NO_ENTRY;
  }

  private swap({
    key,
    expectedVersion,
    value,
  }: CompareAndSwapRequest): CompareAndSwapResponse {
    const current = this.read(key);
    if (current.version !== expectedVersion) {
      return {swapped: false, ...current};
    }
    const next = {version: expectedVersion + 1, value};
    this.entries.set(key, [...(this.entries.get(key) ?? []), next]);
    return {swapped: true, ...next};
  }

  private lease({key, holder, durationMs}: LeaseRequest): LeaseResponse {
    const now = performance.now();
    const current = this.leases.get(key);
    const isFree = current === undefined || current.untilMs <= now;
    if (isFree || current.holder === holder) {
      this.leases.set(key, {holder, untilMs: now + durationMs});
      return {held: true, holder, remainingMs: durationMs};
    }
    return {
      held: false,
      holder: current.holder,
      remainingMs: current.untilMs - now,
    };
  }
}

function storeUnavailableError(outcome: Outcome): SapphiregladeError {
  return new SapphiregladeError(
    ErrorKind.StoreUnavailable,
    'The store did not answer.',
    {outcome},
  );
}
