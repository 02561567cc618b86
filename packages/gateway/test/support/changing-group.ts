import {MemoryGroup, MemoryInstance} from './memory-group.js';

/** An in-memory group whose instances join and restart. */
export class ChangingGroup extends MemoryGroup {
  declare readonly instances: MemoryInstance[];

  /** Adds a replica without a log, which replicates from the primary that it reaches. */
  join(): MemoryInstance {
    const instance = new MemoryInstance(
      `${this.name}-${this.instances.length}`,
    );
    this.instances.push(instance);
    return instance;
  }

  /** Restarts an instance with its log; its hold and its connections end. */
  restartWithLog(instance: MemoryInstance): void {
    instance.heldTerm = 0;
    instance.bornAtMs += 1;
    for (const connection of [...instance.connections]) connection.abandon();
  }

  /** Acknowledged requests that the log of an instance lacks. */
  missingAt(instance: MemoryInstance | undefined): string[] {
    const kept = instance?.log.map(({requestId}) => requestId) ?? [];
    return [...this.acknowledged.keys()].filter(id => !kept.includes(id));
  }
}
