/** Results of measurements as JSON and as an HTML page. */
export * from './html-report.js';
export * from './measurement-schema.js';
