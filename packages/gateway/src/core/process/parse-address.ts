/** Parses an address of the settings, HOST:PORT. */
export function parseAddress(text: string): {host: string; port: number} {
  const colon = text.lastIndexOf(':');
  return {host: text.slice(0, colon), port: Number(text.slice(colon + 1))};
}
