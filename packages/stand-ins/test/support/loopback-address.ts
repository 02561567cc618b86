/** Loopback network used by the tests of this package. */
const NETWORK = '127.61';

/**
 * Returns an IP address that no other test file uses.
 *
 * @param file - Number of the test file.
 * @param host - Number of the process within the file.
 */
export function loopbackAddress(file: number, host: number): string {
  return `${NETWORK}.${file}.${host}`;
}
