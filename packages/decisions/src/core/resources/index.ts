/** The resources that operators declare. */
export * from './change-record.js';
export * from './schemas.js';
export * from './snapshot.js';
