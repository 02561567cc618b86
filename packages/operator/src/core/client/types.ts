/** Address of a proxy and operator credentials. */
export interface OperatorConnection {
  /** Origin of the operator port, for example `http://10.1.0.1:8081`. */
  readonly origin: string;
  /** Name of the operator. */
  readonly operator: string;
  /** Access key of the operator. */
  readonly key: string;
}

/** Change of a resource. */
export interface ResourceChange {
  readonly kind: string;
  readonly name: string;
  /** Version that the change replaces; 0 for a new resource. */
  readonly version: number;
  /** Reason, recorded with the change. */
  readonly reason: string;
  /** Whether to validate and preview the change without applying it. */
  readonly dryRun: boolean;
}
