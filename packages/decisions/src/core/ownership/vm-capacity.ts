/** Resources that a VM provides to its proxy. */
export interface VmResources {
  /** Fraction of the processor that the process may use. */
  readonly processorShare: number;
  /** Capacity of the processor, in standard cores. */
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
 * Returns the relative capacity of a VM. The scarcest resource determines it,
 * because a proxy needs all of them for each statement.
 *
 * @param resources - Resources of the VM.
 * @returns The capacity, in units that are only comparable between VMs.
 */
export function vmCapacity(resources: VmResources): number {
  const {processorShare, processorCores, linkMbps, memoryMb} = resources;
  return Math.min(
    (processorShare * processorCores) / UNIT_CORES,
    linkMbps / UNIT_LINK_MBPS,
    memoryMb / UNIT_MEMORY_MB,
  );
}
