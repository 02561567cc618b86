import {setTimeout as sleep} from 'node:timers/promises';
import type {GetResponse} from '@sapphireglade/protocol';
import {
  deleteRequestSchema,
  getRequestSchema,
  leaseRequestSchema,
  listRequestSchema,
  MAXIMUM_VALUE_BYTES,
  storeWatchRequestSchema,
  compareAndSwapRequestSchema,
} from '@sapphireglade/protocol';
import {filter, firstValueFrom, merge, timer} from 'rxjs';
import type {z} from 'zod';
import type {RequestOrigin, Route} from '../http/index.js';
import {
  FaultInjectingHttpService,
  HttpResponseError,
  createPostRoute,
} from '../http/index.js';
import {CallCounter} from './call-counter.js';
import {KeyValueStore} from './key-value-store.js';
import {Leases} from './leases.js';
import {RateLimiter} from './rate-limiter.js';
import type {StoreSettings} from './settings.js';

const PAYLOAD_TOO_LARGE_STATUS = 413;
const TOO_MANY_REQUESTS_STATUS = 429;

/**
 * In-memory stand-in for the platform's key-value service.
 *
 * The control port also serves `GET /calls` (call counts), `DELETE /calls`
 * (resets the counts) and `GET /keys` (all keys).
 */
export class PlatformStoreService {
  private readonly keyValues = new KeyValueStore();
  private readonly leases = new Leases();
  private readonly callCounter = new CallCounter();
  private readonly reads: RateLimiter;
  private readonly writes: RateLimiter;
  private readonly service: FaultInjectingHttpService;

  /** @param settings - Addresses and rates. */
  constructor(private readonly settings: StoreSettings) {
    this.reads = new RateLimiter(settings.readsPerSecond);
    this.writes = new RateLimiter(settings.writesPerSecond);
    this.service = new FaultInjectingHttpService({
      ...settings,
      routes: this.createRoutes(),
      controlRoutes: this.createControlRoutes(),
    });
  }

  /** Opens the ports. */
  start(): Promise<void> {
    return this.service.start();
  }

  /** Closes the ports. */
  stop(): Promise<void> {
    return this.service.stop();
  }

  private createRoutes(): Route[] {
    const {keyValues, leases, reads, writes} = this;
    return [
      this.route('/get', getRequestSchema, reads, ({key}) =>
        keyValues.get(key),
      ),
      this.route('/list', listRequestSchema, reads, ({prefix}) => ({
        keys: keyValues.list(prefix),
      })),
      this.route('/watch', storeWatchRequestSchema, reads, body =>
        this.watch(body),
      ),
      this.route(
        '/compare-and-swap',
        compareAndSwapRequestSchema,
        writes,
        body => {
          checkValueSize(body.value);
          return keyValues.compareAndSwap(body);
        },
      ),
      this.route('/delete', deleteRequestSchema, writes, body =>
        keyValues.delete(body.key, body.expectedVersion),
      ),
      this.route('/acquire-lease', leaseRequestSchema, writes, body =>
        leases.acquire(body),
      ),
      this.route('/release-lease', leaseRequestSchema, writes, body =>
        leases.release(body),
      ),
    ];
  }

  private createControlRoutes(): Route[] {
    return [
      {method: 'GET', path: '/calls', handle: () => this.callCounter.counts()},
      {
        method: 'DELETE',
        path: '/calls',
        handle: () => {
          this.callCounter.reset();
          return {};
        },
      },
      {
        method: 'GET',
        path: '/keys',
        handle: () => ({keys: this.keyValues.list('')}),
      },
    ];
  }

  /** Creates a rate-limited route that delays its response by `answerMs`. */
  private route<Schema extends z.ZodType>(
    path: string,
    schema: Schema,
    limiter: RateLimiter,
    handle: (body: z.infer<Schema>) => unknown,
  ): Route {
    return createPostRoute(path, schema, async (body, origin) => {
      this.enforceRateLimit(path, limiter, origin);
      await sleep(this.settings.answerMs);
      return handle(body);
    });
  }

  private enforceRateLimit(
    path: string,
    limiter: RateLimiter,
    {clientAddress}: RequestOrigin,
  ): void {
    this.callCounter.count(path, clientAddress);
    if (limiter.tryAcquire(performance.now())) return;
    this.callCounter.countRateLimited();
    throw new HttpResponseError(TOO_MANY_REQUESTS_STATUS, {
      message: 'Too many calls.',
    });
  }

  /** Waits until a key has a later version or the timeout expires. */
  private async watch({
    key,
    afterVersion,
    timeoutMs,
  }: z.infer<typeof storeWatchRequestSchema>): Promise<GetResponse> {
    const isNewer = (): boolean =>
      this.keyValues.get(key).version > afterVersion;
    if (!isNewer()) {
      const changes$ = this.keyValues.changes$.pipe(
        filter(changed => changed === key && isNewer()),
      );
      await firstValueFrom(merge(changes$, timer(timeoutMs)));
    }
    return this.keyValues.get(key);
  }
}

function checkValueSize(value: string): void {
  if (Buffer.byteLength(value) <= MAXIMUM_VALUE_BYTES) return;
  throw new HttpResponseError(PAYLOAD_TOO_LARGE_STATUS, {
    message: 'The value is too large.',
  });
}
