/** What the control plane costs. */
export * from './delegate-scaling.js';
