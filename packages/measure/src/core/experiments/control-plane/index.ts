/** Measurements of the cost of the control plane. */
export * from './delegate-scaling.js';
