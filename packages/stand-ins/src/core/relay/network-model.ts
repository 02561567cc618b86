import type {
  RelayConditions,
  RelayLocation,
  RelaySettings,
} from './settings.js';
import {relayConditionsSchema} from './settings.js';
import {RegionLink} from './region-link.js';

/** Outcome of sending bytes; `at` is the arrival time, monotonic, in ms. */
export type DeliveryOutcome =
  | {readonly kind: 'arrives'; readonly at: number}
  | {readonly kind: 'silent'}
  | {readonly kind: 'closed'};

/** Direction of a connection, by IP address. */
export interface Direction {
  readonly from: string;
  readonly to: string;
}

/** Model of the network: locations, latencies and active faults. */
export class NetworkModel {
  private readonly locationByPrefix = new Map<string, RelayLocation>();
  private readonly latencyByPair = new Map<string, number>();
  private readonly links = new Map<string, RegionLink>();
  private current: RelayConditions = relayConditionsSchema.parse({});

  /**
   * @param settings - Locations and latencies.
   * @param random - Returns random numbers from 0 to 1.
   */
  constructor(
    private readonly settings: RelaySettings,
    private readonly random: () => number,
  ) {
    for (const location of settings.places) {
      for (const prefix of location.prefixes) {
        this.locationByPrefix.set(prefix, location);
      }
    }
    for (const {between, oneWayMs} of settings.latencies) {
      const [left, right] = between;
      this.latencyByPair.set(pairKey(left, right), oneWayMs);
      this.latencyByPair.set(pairKey(right, left), oneWayMs);
    }
  }

  /** The current conditions. */
  get conditions(): RelayConditions {
    return this.current;
  }

  /** Replaces the current conditions. */
  set conditions(conditions: RelayConditions) {
    this.current = conditions;
  }

  /** Bytes sent between regions, by direction. */
  get carriedBytes(): Record<string, number> {
    const entries = [...this.links].map(([name, link]) => [
      name,
      link.carriedBytes,
    ]);
    return Object.fromEntries(entries) as Record<string, number>;
  }

  /**
   * Computes when bytes arrive and reserves the link between the regions.
   *
   * @param direction - IP addresses of both ends.
   * @param bytes - Number of bytes.
   * @param now - Monotonic time, in milliseconds.
   */
  scheduleDelivery(
    direction: Direction,
    bytes: number,
    now: number,
  ): DeliveryOutcome {
    const fault = this.findFault(direction);
    if (fault !== undefined) return {kind: fault};
    const departsAt = this.reserveLink(direction, bytes, now);
    return {kind: 'arrives', at: departsAt + this.latencyMs(direction)};
  }

  /** Returns the kind of the first fault that matches a direction. */
  findFault({from, to}: Direction): 'silent' | 'closed' | undefined {
    const fault = this.current.faults.find(
      candidate =>
        this.matchesAddress(candidate.from, from) &&
        this.matchesAddress(candidate.to, to),
    );
    return fault?.kind;
  }

  private matchesAddress(
    pattern: string | undefined,
    address: string,
  ): boolean {
    if (pattern === undefined || pattern === address) return true;
    return this.findLocation(address)?.name === pattern;
  }

  private findLocation(address: string): RelayLocation | undefined {
    const prefix = address.slice(0, address.lastIndexOf('.'));
    return this.locationByPrefix.get(prefix);
  }

  private latencyMs({from, to}: Direction): number {
    const source = this.findLocation(from)?.name ?? '';
    const target = this.findLocation(to)?.name ?? '';
    const base = this.latencyByPair.get(pairKey(source, target)) ?? 0;
    const {latencyFactor, jitterMs} = this.current;
    return base * latencyFactor + this.random() * jitterMs;
  }

  private reserveLink(
    {from, to}: Direction,
    bytes: number,
    now: number,
  ): number {
    const {regionBytesPerSecond} = this.settings;
    const source = this.findLocation(from)?.region;
    const target = this.findLocation(to)?.region;
    const isRemote = source !== target && source && target;
    if (!isRemote || regionBytesPerSecond === undefined) return now;
    const name = pairKey(source, target);
    const link = this.links.get(name) ?? new RegionLink(regionBytesPerSecond);
    this.links.set(name, link);
    return link.reserve(bytes, now);
  }
}

function pairKey(from: string, to: string): string {
  return `${from} to ${to}`;
}
