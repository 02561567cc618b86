/** What a VM offers to the proxy on it. */
export interface VmResources {
  /** Part of the processor that the process may use. */
  readonly processorShare: number;
  /** How many ordinary cores the processor is worth. */
  readonly processorCores: number;
  /** Bandwidth of its network link, in Mbit/s. */
  readonly linkMbps: number;
  /** Memory that the process may use, in MB. */
  readonly memoryMb: number;
}

/** Cores that count as one unit of capacity. */
const UNIT_CORES = 0.5;

/** Bandwidth that counts as one unit of capacity, in Mbit/s. */
const UNIT_LINK_MBPS = 100;

/** Memory that counts as one unit of capacity, in MB. */
const UNIT_MEMORY_MB = 300;

/**
 * Says how much of the fleet's work a VM can carry. Its scarcest resource
 * counts, because a proxy needs all of them for each statement.
 *
 * @param resources - What the VM offers.
 * @returns The capacity, in units that only compare VMs with each other.
 */
export function vmCapacity(resources: VmResources): number {
  const {processorShare, processorCores, linkMbps, memoryMb} = resources;
  return Math.min(
    (processorShare * processorCores) / UNIT_CORES,
    linkMbps / UNIT_LINK_MBPS,
    memoryMb / UNIT_MEMORY_MB,
  );
}
