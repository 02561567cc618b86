import type {VmList} from '@sapphireglade/protocol';

/** The platform's list of entry VMs, which may lag behind changes. */
export abstract class VmDirectory {
  /**
   * Returns the current list.
   *
   * @throws SapphiregladeError of kind `store-unavailable` if the platform
   *   does not answer.
   */
  abstract list(): Promise<VmList>;
}
