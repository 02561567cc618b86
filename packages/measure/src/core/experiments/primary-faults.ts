import type {Fleet} from '@sapphireglade/stand-ins';

/** The primary of a group, as its instances tell it. */
export interface PrimaryIdentity {
  readonly group: string;
  readonly instance: string;
  readonly term: number;
}

/** Something that takes a primary away, and how it comes back. */
export abstract class PrimaryFault {
  /** Name on the command line. */
  abstract readonly name: string;
  /** What happens, in one sentence. */
  abstract readonly description: string;
  /** Takes the primary away. */
  abstract inject(fleet: Fleet, primary: PrimaryIdentity): Promise<void>;
  /** Lets it come back. */
  abstract revert(fleet: Fleet, primary: PrimaryIdentity): Promise<void>;
}

/** Resets every connection and refuses new ones; the log is kept. */
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

/** The same while the platform's store is down. */
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

/** No byte reaches the primary or leaves it; connections stay open. */
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

/** The process is stopped and goes on later. */
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

/** The instance says that its owner is about to stop it. */
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

/** Every fault that a change of primary is measured with. */
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
