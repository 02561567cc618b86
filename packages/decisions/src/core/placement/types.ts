/** An entry VM as a candidate for placement. */
export interface PlacementNode {
  /** Name of the VM. */
  readonly name: string;
  /** Its availability zone. */
  readonly zone: string;
}

/** The proxies that hold connections to one instance. */
export interface InstanceOwners {
  /** Name of the instance. */
  readonly instance: string;
  /** Names of the owning VMs, preferred first. */
  readonly owners: readonly string[];
}
