import {z} from 'zod';

/** Effects of a fault on a request. */
export const FaultKind = {
  /** The request is handled after a delay. */
  Delay: 'delay',
  /** The request takes effect; the socket is closed without a response. */
  DropResponse: 'drop-answer',
  /** The request takes effect; no response is sent, the socket stays open. */
  WithholdResponse: 'withhold-answer',
  /** The request is not handled and no response is sent. */
  IgnoreRequest: 'silent',
  /** The request is refused with status 503. */
  Refuse: 'refuse',
} as const;

/** Kind of a fault. */
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Schema of one fault. */
export const faultSchema = z.strictObject({
  kind: z.enum(Object.values(FaultKind)),
  /** Path of the affected requests; every path if left out. */
  path: z.string().optional(),
  /** IP address of the affected client; every client if left out. */
  client: z.string().optional(),
  /** Key in the body of the affected requests; every key if left out. */
  key: z.string().optional(),
  /** Delay before the request is handled, in milliseconds. */
  delayMs: z.int().min(0).default(0),
  /** Number of affected requests; unlimited if left out. */
  count: z.int().min(1).optional(),
});

/** Schema of the body of `PUT /faults`, which replaces the table. */
export const faultTableSchema = z.strictObject({
  /** Whether the published port is closed and its connections are reset. */
  down: z.boolean().default(false),
  faults: z.array(faultSchema).default([]),
});

/** A fault in the table. */
export type Fault = z.infer<typeof faultSchema>;
/** Body of `PUT /faults`. */
export type FaultTableBody = z.input<typeof faultTableSchema>;

/** The active faults of a stand-in. */
export class FaultTable {
  private faults: Fault[] = [];

  /** Replaces all active faults. */
  replace(faults: readonly Fault[]): void {
    this.faults = faults.map(fault => ({...fault}));
  }

  /** Returns the active faults. */
  list(): readonly Fault[] {
    return this.faults;
  }

  /**
   * Returns the faults that match a request and decrements their counts. Faults
   * whose count reaches zero are removed.
   *
   * @param path - Path of the request.
   * @param client - IP address of the client.
   * @param key - Key in the body of the request; undefined if it has none.
   */
  consumeMatching(path: string, client: string, key?: string): Fault[] {
    const matching = this.faults.filter(
      fault =>
        (fault.path ?? path) === path &&
        (fault.client ?? client) === client &&
        (fault.key ?? key) === key,
    );
    const copies = matching.map(fault => ({...fault}));
    for (const fault of matching) decrementCount(fault);
    this.faults = this.faults.filter(fault => fault.count !== 0);
    return copies;
  }
}

/** Decrements the remaining requests of a fault that has a count. */
function decrementCount(fault: Fault): void {
  if (fault.count !== undefined) fault.count -= 1;
}
