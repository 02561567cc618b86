/** What proxies that own nothing learn of the store from those that follow it. */
export * from './news-desk.js';
export * from './news-follower.js';
export * from './messages.js';
