/** Whether this proxy takes requests. */
export interface Readiness {
  /** True once configuration and members are known, until the stop. */
  isReady(): boolean;
}
