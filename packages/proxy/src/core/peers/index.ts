/** Links to other proxies and the dispatch of their messages. */
export * from './peer-dispatcher.js';
export * from './peer-links.js';
