import type {Fleet} from '@sapphireglade/stand-ins';

/** Primary of a group, as reported by its instances. */
export interface PrimaryIdentity {
  readonly group: string;
  readonly instance: string;
  readonly term: number;
}

/** Fault that makes a primary unavailable and can be reverted. */
export abstract class PrimaryFault {
  /** Name on the command line. */
  abstract readonly name: string;
  /** Description in one sentence. */
  abstract readonly description: string;
  /** Injects the fault. */
  abstract inject(fleet: Fleet, primary: PrimaryIdentity): Promise<void>;
  /** Reverts the fault. */
  abstract revert(fleet: Fleet, primary: PrimaryIdentity): Promise<void>;
}

/** The instance resets its connections and refuses new ones; its log is kept. */
class InstanceDown extends PrimaryFault {
  readonly name: string = 'kill';
  readonly description: string =
    'The primary resets its connections, refuses new ones and comes back with its log.';

  async inject(fleet: Fleet, primary: PrimaryIdentity): Promise<void> {
    await controlOf(fleet, primary).setFaults({down: true});
  }

  async revert(fleet: Fleet, primary: PrimaryIdentity): Promise<void> {
    await controlOf(fleet, primary).setFaults({});
  }
}

/** The instance is down while the platform's store is down too. */
class InstanceAndStoreDown extends InstanceDown {
  override readonly name = 'kill-store-down';
  override readonly description =
    "The same while the platform's store is down.";

  override async inject(fleet: Fleet, primary: PrimaryIdentity): Promise<void> {
    await fleet.storeControl.setFaults({down: true});
    await super.inject(fleet, primary);
  }

  override async revert(fleet: Fleet, primary: PrimaryIdentity): Promise<void> {
    await super.revert(fleet, primary);
    await fleet.storeControl.setFaults({});
  }
}

/** All traffic from and to the primary is dropped; connections stay open. */
class NetworkPartition extends PrimaryFault {
  readonly name = 'cut';
  readonly description =
    'No byte reaches the primary or leaves it; connections stay open.';

  async inject(fleet: Fleet, primary: PrimaryIdentity): Promise<void> {
    const address = addressOf(fleet, primary);
    const faults = [
      {kind: 'silent', to: address},
      {kind: 'silent', from: address},
    ];
    await fleet.relayControl.put('/conditions', {faults});
  }

  async revert(fleet: Fleet): Promise<void> {
    await fleet.relayControl.put('/conditions', {});
  }
}

/** The process is suspended and resumes later. */
class ProcessSuspension extends PrimaryFault {
  readonly name = 'freeze';
  readonly description = 'The process of the primary is stopped by SIGSTOP.';

  async inject(fleet: Fleet, primary: PrimaryIdentity): Promise<void> {
    processOf(fleet, primary).signal('SIGSTOP');
  }

  async revert(fleet: Fleet, primary: PrimaryIdentity): Promise<void> {
    processOf(fleet, primary).signal('SIGCONT');
  }
}

/** The instance reports that it is about to be stopped. */
class PlannedStop extends PrimaryFault {
  readonly name = 'planned-stop';
  readonly description = 'The primary says that its owner is about to stop it.';

  async inject(fleet: Fleet, primary: PrimaryIdentity): Promise<void> {
    await controlOf(fleet, primary).put('/tuning', {stopping: true});
  }

  async revert(fleet: Fleet, primary: PrimaryIdentity): Promise<void> {
    await controlOf(fleet, primary).put('/tuning', {stopping: false});
  }
}

/** All faults with which a change of primary is measured. */
export const PRIMARY_FAULTS: readonly PrimaryFault[] = [
  new InstanceDown(),
  new NetworkPartition(),
  new ProcessSuspension(),
  new PlannedStop(),
  new InstanceAndStoreDown(),
];

function controlOf(
  fleet: Fleet,
  {group, instance}: PrimaryIdentity,
): ReturnType<Fleet['instanceControl']> {
  return fleet.instanceControl(group, instance);
}

function processOf(
  fleet: Fleet,
  {group, instance}: PrimaryIdentity,
): ReturnType<Fleet['process']> {
  return fleet.process(`${group}/${instance}`);
}

function addressOf(fleet: Fleet, primary: PrimaryIdentity): string {
  const planned = fleet.plan.instances.find(
    ({group, name}) => group === primary.group && name === primary.instance,
  );
  if (planned === undefined) throw new Error('There is no such instance.');
  return planned.address;
}
