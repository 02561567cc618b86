/** Plans which proxies own a group, and chooses the owner of a statement. */
export * from './vm-capacity.js';
export * from './choose-owner.js';
export * from './plan-owners.js';
export * from './request-age-estimator.js';
export * from './types.js';
