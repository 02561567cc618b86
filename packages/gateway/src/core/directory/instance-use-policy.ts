import {decideInstanceUse, InstanceUse} from '@sapphireglade/decisions';
import type {InstanceDirectory} from './instance-directory.js';
import type {RegisteredInstance} from './types.js';

/** Decides whether an instance may receive new statements. */
export abstract class InstanceUsePolicy {
  /**
   * Returns whether an instance may receive new statements, or why not.
   *
   * @param instance - The instance.
   * @param isPrimary - Whether it is the recorded primary of its group.
   */
  abstract useOf(instance: RegisteredInstance, isPrimary: boolean): InstanceUse;
}

/** Allows every instance that is not a leaving replica, however old the directory is. */
export class RegistrationUsePolicy extends InstanceUsePolicy {
  override useOf(
    {isLeaving}: RegisteredInstance,
    isPrimary: boolean,
  ): InstanceUse {
    return isLeaving && !isPrimary ? InstanceUse.Leaving : InstanceUse.Allowed;
  }
}

/** Dependencies of the policy that respects the age of the directory. */
export interface DirectoryUsePolicyOptions {
  readonly directory: InstanceDirectory;
  /**
   * Returns the time within which a leaving instance must no longer receive
   * statements, in milliseconds.
   */
  readonly leaveWithinMs: () => number;
  /** Returns whether the store answers, so that the directory can be confirmed. */
  readonly isStoreReachable: () => boolean;
  /** Called when an instance is withheld because the directory is out of date. */
  readonly onUnconfirmed: () => void;
}

/** Withholds an instance as soon as it may have been leaving for too long. */
export class DirectoryUsePolicy extends InstanceUsePolicy {
  constructor(private readonly options: DirectoryUsePolicyOptions) {
    super();
  }

  override useOf(
    {id, isLeaving}: RegisteredInstance,
    isPrimary: boolean,
  ): InstanceUse {
    const {directory, leaveWithinMs, isStoreReachable} = this.options;
    const use = decideInstanceUse({
      isPrimary,
      isLeaving,
      stayedAgoMs: directory.stayedAgoMs(id),
      leaveWithinMs: leaveWithinMs(),
      isStoreReachable: isStoreReachable(),
    });
    if (use === InstanceUse.Unconfirmed) this.options.onUnconfirmed();
    return use;
  }
}
