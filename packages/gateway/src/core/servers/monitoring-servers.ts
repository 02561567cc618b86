/** Serves the metrics of this process to whoever scrapes them. */
export abstract class MetricsServer {
  /** Begins to answer. */
  abstract listen(render: () => string): Promise<void>;

  /** Stops answering. */
  abstract close(): Promise<void>;
}

/** Tells the balancer whether this proxy should get new connections. */
export abstract class ReadinessServer {
  /** Begins to answer. */
  abstract listen(isReady: () => boolean): Promise<void>;

  /** Stops answering. */
  abstract close(): Promise<void>;
}
