import type {LogPosition} from '../../src/index.js';

/** One instance of the model. */
export interface ModelInstance {
  readonly id: string;
  log: LogPosition[];
  bornAtMs: number;
  isUp: boolean;
  isDeaf: boolean;
  isLeaving: boolean;
  /** Whether the coordinator holds it as a replica that leaves. */
  isHeld: boolean;
}

/**
 * Instances of a group that go deaf, crash, lapse, return with and without their
 * logs, leave, are lost and are added.
 */
export abstract class FaultyInstances {
  /** Instances that were lost with their logs without an announcement. */
  lostInstances = 0;
  protected readonly instances: ModelInstance[] = [];
  /** Instances whose entries have lapsed and that return. */
  protected readonly absent: ModelInstance[] = [];
  private created = 0;

  /** Adds an empty replica. */
  add(): void {
    this.created += 1;
    this.instances.push({
      id: `i${this.created}`,
      log: [],
      bornAtMs: this.created,
      isUp: true,
      isDeaf: false,
      isLeaving: false,
      isHeld: false,
    });
    this.replicate();
    this.updateDirectory();
  }

  /** Changes whether an instance receives anything. */
  toggleDeaf(index: number): void {
    const instance = this.at(index);
    if (instance === undefined) return;
    instance.isDeaf = !instance.isDeaf;
    this.replicate();
  }

  /** Stops an instance. */
  crash(index: number): void {
    const instance = this.at(index);
    if (instance !== undefined) instance.isUp = false;
  }

  /** Starts a stopped instance again. A replica may have lost its log. */
  restart(index: number, keepsLog: boolean): void {
    const instance = this.at(index);
    if (instance === undefined || instance.isUp) return;
    instance.isUp = true;
    instance.isHeld = false;
    this.created += 1;
    instance.bornAtMs = this.created;
    if (!keepsLog && !this.hasKeptLog(instance.id)) this.loseLog(instance);
    this.replicate();
    this.updateDirectory();
  }

  /** Stops the replicas that are not leaving from receiving anything. */
  cutPrimary(): void {
    for (const instance of this.instances)
      instance.isDeaf ||= !instance.isLeaving;
  }

  /** Lets an instance announce that it leaves. */
  announceLeave(index: number): void {
    const instance = this.at(index);
    if (instance === undefined) return;
    instance.isLeaving = true;
    this.updateDirectory();
  }

  /** Removes an instance that has announced it, with its log. */
  leave(index: number): void {
    const instance = this.at(index);
    if (instance?.isLeaving === true) this.remove(instance);
  }

  /** Removes an instance with its log for good, without an announcement. */
  lose(index: number): void {
    const instance = this.at(index);
    if (instance === undefined || instance.isLeaving) return;
    if (this.remove(instance)) this.lostInstances += 1;
  }

  /** Makes an instance dark until its entry has lapsed. A replica may lose its log. */
  lapse(index: number, keepsLog: boolean): void {
    const instance = this.at(index);
    if (instance === undefined || instance.isLeaving) return;
    if (!this.remove(instance)) return;
    this.absent.push(instance);
    if (keepsLog || this.hasKeptLog(instance.id)) return;
    this.created += 1;
    instance.bornAtMs = this.created;
    this.loseLog(instance);
  }

  /** Lets an instance return whose entry had lapsed. */
  comeBack(index: number): void {
    const instance = this.absent[index % Math.max(1, this.absent.length)];
    if (instance === undefined) return;
    this.absent.splice(this.absent.indexOf(instance), 1);
    instance.isUp = true;
    this.instances.push(instance);
    this.replicate();
    this.updateDirectory();
  }

  /** Lets every instance return that is alive, and receive again. */
  protected returnAll(): void {
    while (this.absent.length > 0) this.comeBack(0);
    for (const [index, instance] of this.instances.entries()) {
      instance.isDeaf = false;
      this.restart(index, true);
    }
  }

  protected find(id: string): ModelInstance | undefined {
    return this.instances.find(each => each.id === id);
  }

  /** Handles a change of the entries in the directory. */
  protected abstract updateDirectory(): void;

  /** Sends the log of the leader to the others; returns how many received it. */
  protected abstract replicate(): number;

  /** Returns whether an instance keeps its log when it starts again, as a leader does. */
  protected abstract hasKeptLog(id: string): boolean;

  /** Handles that an instance has lost its log. */
  protected abstract onLogLost(id: string): void;

  /** Removes an instance from the group, if at least two others remain. */
  private remove(instance: ModelInstance): boolean {
    if (this.instances.length < 3) return false;
    this.instances.splice(this.instances.indexOf(instance), 1);
    this.updateDirectory();
    return true;
  }

  private loseLog(instance: ModelInstance): void {
    instance.log = [];
    this.onLogLost(instance.id);
  }

  private at(index: number): ModelInstance | undefined {
    return this.instances[index % this.instances.length];
  }
}
