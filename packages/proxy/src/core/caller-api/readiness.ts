/** Reports whether this proxy accepts requests. */
export interface Readiness {
  /** Returns true from the first known configuration until the stop. */
  isReady(): boolean;
}
