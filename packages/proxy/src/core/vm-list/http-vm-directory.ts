import {ErrorKind, SapphiregladeError} from '@sapphireglade/decisions';
import type {VmList} from '@sapphireglade/protocol';
import {vmListSchema} from '@sapphireglade/protocol';
import {Pool} from 'undici';
import {VmDirectory} from './vm-directory.js';

/** Response timeout, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 1_000;

/** Client for the platform's VM list over HTTP. */
export class HttpVmDirectory extends VmDirectory {
  private readonly pool: Pool;

  /**
   * @param origin - Origin of the VM list, for example `http://10.0.0.1:7001`.
   * @param localAddress - Local IP address to connect from; any if omitted.
   */
  constructor(origin: string, localAddress?: string) {
    super();
    this.pool = new Pool(origin, {connections: 1, localAddress});
  }

  async list(): Promise<VmList> {
    try {
      const response = await this.pool.request({
        path: '/vms',
        method: 'GET',
        signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
      });
      return vmListSchema.parse(await response.body.json());
    } catch (cause) {
      throw new SapphiregladeError(
        ErrorKind.StoreUnavailable,
        'The VM list service did not answer.',
        {cause},
      );
    }
  }
}
