/** Serves the metrics of this process to scrapers. */
export abstract class MetricsServer {
  /** Starts serving requests. */
  abstract listen(render: () => string): Promise<void>;

  /** Stops serving requests. */
  abstract close(): Promise<void>;
}

/** Serves the readiness of this proxy to the load balancer, which sends it new connections accordingly. */
export abstract class ReadinessServer {
  /** Starts serving requests. */
  abstract listen(isReady: () => boolean): Promise<void>;

  /** Stops serving requests. */
  abstract close(): Promise<void>;
}
