/** Which proxies hold connections to a group, and which of them is asked. */
export * from './vm-capacity.js';
export * from './choose-owner.js';
export * from './plan-owners.js';
export * from './request-age-estimator.js';
export * from './types.js';
