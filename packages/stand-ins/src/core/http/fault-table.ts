import {z} from 'zod';

/** What a fault does to a request. */
export const FaultKind = {
  /** The request waits before it is handled. */
  Delay: 'delay',
  /** The request takes effect, then the socket is closed without an answer. */
  DropResponse: 'drop-answer',
  /** The request takes effect, but is never answered. */
  WithholdResponse: 'withhold-answer',
  /** The request is neither handled nor answered. */
  IgnoreRequest: 'silent',
  /** The request is refused with status 503. */
  Refuse: 'refuse',
} as const;

/** One of the kinds. */
export type FaultKind = (typeof FaultKind)[keyof typeof FaultKind];

/** Schema of one fault. */
export const faultSchema = z.strictObject({
  kind: z.enum(Object.values(FaultKind)),
  /** Path of the requests that it strikes; every path if left out. */
  path: z.string().optional(),
  /** IP address of the clients that it strikes; every client if left out. */
  client: z.string().optional(),
  /** Length of a delay, in milliseconds. */
  delayMs: z.int().min(0).default(0),
  /** How many requests it strikes; without end if left out. */
  count: z.int().min(1).optional(),
});

/** Schema of the body of `PUT /faults`, which replaces the table. */
export const faultTableSchema = z.strictObject({
  /** The stand-in accepts no connection and has closed all. */
  down: z.boolean().default(false),
  faults: z.array(faultSchema).default([]),
});

/** One fault. */
export type Fault = z.infer<typeof faultSchema>;
/** Body of `PUT /faults`. */
export type FaultTableBody = z.input<typeof faultTableSchema>;

/** The faults in force at a stand-in. */
export class FaultTable {
  private faults: Fault[] = [];

  /** Replaces all faults. */
  replace(faults: readonly Fault[]): void {
    this.faults = faults.map(fault => ({...fault}));
  }

  /** Lists the faults in force. */
  list(): readonly Fault[] {
    return this.faults;
  }

  /**
   * Takes the faults that strike a request; counted ones are used up.
   *
   * @param path - Path of the request.
   * @param client - IP address of the client.
   */
  consumeMatching(path: string, client: string): Fault[] {
    const struck = this.faults.filter(
      fault =>
        (fault.path ?? path) === path && (fault.client ?? client) === client,
    );
    const taken = struck.map(fault => ({...fault}));
    for (const fault of struck) decrementCount(fault);
    this.faults = this.faults.filter(fault => fault.count !== 0);
    return taken;
  }
}

/** Counts down a fault that strikes a limited number of requests. */
function decrementCount(fault: Fault): void {
  if (fault.count !== undefined) fault.count -= 1;
}
