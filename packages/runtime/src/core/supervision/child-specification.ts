import type {SupervisedTask} from './supervised-task.js';

/** How a supervisor makes one of its children. */
export interface ChildSpecification {
  /** Name of the child, unique within its supervisor. */
  readonly name: string;
  /** Makes a new instance, at the start and after each failure. */
  readonly create: () => SupervisedTask;
}
