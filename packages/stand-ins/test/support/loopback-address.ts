/** Loopback network of the tests of this package. */
const NETWORK = '127.61';

/**
 * An address of its own for a test.
 *
 * @param file - Number of the test file.
 * @param host - Number of the process within the file.
 */
export function loopbackAddress(file: number, host: number): string {
  return `${NETWORK}.${file}.${host}`;
}
