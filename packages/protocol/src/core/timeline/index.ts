/** The published HTTP schema of the time line of one process. */
export * from './schemas.js';
